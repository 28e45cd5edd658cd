package membership

import (
	"testing"
	"time"
)

const testInterval = 500 * time.Millisecond

// simulate lets a metronome run from start and returns the strokes with their
// times. In the middle, the wall clock jumps.
func simulateSchedule(start time.Time, d, jump time.Duration) (times []time.Time, actions []tickAction) {
	m := heartbeatSchedule{interval: testInterval, lastHeartbeat: start}
	var offset time.Duration
	for now := start; now.Sub(start) < d; {
		now = now.Add(m.untilNextTick(now.Add(offset)))
		if s := m.actionAt(now.Add(offset), now); s != sendNone {
			times, actions = append(times, now), append(actions, s)
		}
		if now.Sub(start) > d/2 {
			offset = jump
		}
	}
	return times, actions
}

func TestSchedulesAlignAcrossHosts(t *testing.T) {
	begin := time.Unix(1000, 0)
	a, _ := simulateSchedule(begin.Add(123*time.Millisecond), 5*time.Second, 0)
	b, _ := simulateSchedule(begin.Add(399*time.Millisecond), 5*time.Second, 0)
	if len(a) < 9 || len(b) < 9 {
		t.Fatalf("only %d and %d beats in 5 s", len(a), len(b))
	}
	for i := range min(len(a), len(b)) {
		if !a[i].Equal(b[i]) {
			t.Fatalf("beat %d is at %v here and at %v there", i, a[i], b[i])
		}
	}
}

func TestClockJumpSkipsNoHeartbeat(t *testing.T) {
	for _, jump := range []time.Duration{
		0, testInterval / 2, -testInterval / 2, testInterval / 3, time.Hour, -time.Hour,
	} {
		t.Run(jump.String(), func(t *testing.T) {
			start := time.Unix(1000, 1)
			times, _ := simulateSchedule(start, 10*time.Second, jump)
			last := start
			for _, at := range times {
				if gap := at.Sub(last); gap > 2*testInterval {
					t.Errorf("%v between two beats", gap)
				}
				last = at
			}
			if len(times) < 17 {
				t.Errorf("only %d beats in 10 s", len(times))
			}
		})
	}
}

func TestRemoteHostsGetEverySecondHeartbeat(t *testing.T) {
	_, actions := simulateSchedule(time.Unix(1000, 1), 20*time.Second, 0)
	counts := make(map[tickAction]int)
	for _, s := range actions {
		counts[s]++
	}
	if counts[sendAllHosts] != 20 || counts[sendLocalDataCentre] != 20 {
		t.Errorf("strokes are %v, want 20 of each kind of beat in 20 s", counts)
	}
}
