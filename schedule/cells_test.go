package schedule

import (
	"testing"

	"github.com/cornelyard/cornelyard/ident"
)

// cellOf returns the names of the targets of the scheduler's cell.
func cellOf(s *Scheduler) map[ident.Target]bool {
	own := make(map[ident.Target]bool)
	for name, t := range s.targets {
		if !t.otherCell {
			own[name] = true
		}
	}
	return own
}

func TestHostsPreferTheTargetsOfTheirCell(t *testing.T) {
	slots := make([]int, 2*minTargetsPerCell)
	for i := range slots {
		slots[i] = 5
	}
	s := newScheduler(slots...)
	s.SetCell(1, 2)
	own := cellOf(s)
	if len(own) != minTargetsPerCell {
		t.Fatalf("%d targets in the cell, want %d", len(own), minTargetsPerCell)
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		s.Enqueue(at(0), request(id, 0, 0))
	}
	sent := dispatched(t, s, 0)
	if len(sent) != 4 {
		t.Errorf("%d of 4 requests were sent", len(sent))
	}
	for id, to := range sent {
		if !own[to] {
			t.Errorf("request %s was sent to %s of another cell", id, to)
		}
	}
}

func TestSmallPoolIsNotDivided(t *testing.T) {
	s := newScheduler(5, 5, 5)
	s.SetCell(0, 2)
	if own := cellOf(s); len(own) != 3 {
		t.Errorf("%d of 3 targets in the cell, want all", len(own))
	}
}
