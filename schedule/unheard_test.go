package schedule

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const testPool = ident.Pool("p")

// unansweredScheduler returns a scheduler with one request on each of three targets since 0 ms.
func unansweredScheduler(t *testing.T) *Scheduler {
	t.Helper()
	s := newScheduler(1, 1, 1)
	for _, id := range []string{"a", "b", "c"} {
		s.Enqueue(at(0), request(id, 0, 0))
	}
	if n := len(dispatched(t, s, 0)); n != 3 {
		t.Fatalf("%d requests dispatched, want 3", n)
	}
	return s
}

// responded returns the state of a host that got a response at a time.
func responded(ms int) State {
	return State{Responses: []PoolResponse{{Pool: testPool, At: at(ms)}}}
}

func TestHostIsUnheardOnlyIfOthersGetResponses(t *testing.T) {
	cases := []struct {
		name string
		// prepare is called before the decision at 1200 ms.
		prepare func(s *Scheduler)
		want    bool
	}{
		{"no other host is known", func(*Scheduler) {}, false},
		{"another host gets responses", func(s *Scheduler) { s.ApplyPeerState(at(1150), "b", responded(1100)) }, true},
		{"hosts of another data centre do", func(s *Scheduler) { s.ApplyDataCentreState(at(1150), "far", 3, responded(1100)) }, true},
		{"they got the last one long ago", func(s *Scheduler) { s.ApplyPeerState(at(1150), "b", responded(-1500)) }, false},
		{"this host got one, too", func(s *Scheduler) {
			s.ApplyPeerState(at(1150), "b", responded(1100))
			s.RecordFirstEvent(at(600), "a")
		}, false},
		{"only two of three targets are silent", func(s *Scheduler) {
			s.ApplyPeerState(at(1150), "b", responded(1100))
			s.Finish(at(100), "a", Abandoned)
		}, false},
		{"one has broken off its request", func(s *Scheduler) {
			s.ApplyPeerState(at(1150), "b", responded(1100))
			s.Finish(at(100), "a", Broken)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := unansweredScheduler(t)
			c.prepare(s)
			if got := s.Unheard(at(1200), testPool); got != c.want {
				t.Errorf("Unheard returned %v, want %v", got, c.want)
			}
		})
	}
}

func TestUnheardHostSendsOneRequestInASecondUntilItGetsAResponse(t *testing.T) {
	s := unansweredScheduler(t)
	s.ApplyPeerState(at(1150), "b", responded(1100))
	if !s.Unheard(at(1200), testPool) {
		t.Fatal("the host does not count as cut off")
	}
	s.SetCutOff(at(1200), testPool, true)
	s.Finish(at(1250), "a", Abandoned)
	sentHere := 0
	for ms := 1300; ms < 4200; ms += 100 {
		s.ApplyPeerState(at(ms), "b", responded(ms))
		r := passable(time.Duration(ms).String(), ms)
		r.Retryable = true
		s.Enqueue(at(ms), r)
		sentHere += len(dispatched(t, s, ms))
	}
	if sentHere != 1 {
		t.Errorf("%d requests were sent to targets, want one that gets no response", sentHere)
	}
	s.RecordFirstEvent(at(4300), "b")
	if s.Unheard(at(4300), testPool) {
		t.Error("the host still counts as cut off after a response")
	}
}
