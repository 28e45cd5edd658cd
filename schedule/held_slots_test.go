package schedule

import (
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// heldScheduler returns a scheduler that got a response at 50 ms and knows that a host has a request
// on each of its three targets, with a request in its queue.
func heldScheduler(t *testing.T) *Scheduler {
	t.Helper()
	s := newScheduler(1, 1, 1)
	s.poolOf(testPool).engine = nil
	s.Enqueue(at(0), request("served", 0, 0))
	dispatched(t, s, 0)
	s.Finish(at(50), "served", Served)
	s.poolOf(testPool).meanService = 0.05
	s.ApplyPeerState(at(100), "other", held(nil))
	r := request("queued", 1100, 0)
	r.Retryable = true
	s.Enqueue(at(1100), r)
	return s
}

// held returns the state of a host with a request on each target of newScheduler(1, 1, 1).
func held(cutOff []ident.Pool) State {
	state := State{CutOff: cutOff}
	for _, name := range []ident.Target{"t0", "t1", "t2"} {
		state.Loads = append(state.Loads, TargetLoad{Target: name, Running: 1})
	}
	return state
}

// Guards against hosts that serve nothing until the deadlines of requests that other hosts lost.
func TestHostTriesOneRequestIfOthersHoldAllSlotsWithoutResponses(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(s *Scheduler)
		want    int
	}{
		{"no host gets responses", func(*Scheduler) {}, 1},
		{"another host gets responses", func(s *Scheduler) { s.ApplyPeerState(at(1150), "c", responded(1100)) }, 0},
		{"requests usually take long", func(s *Scheduler) { s.poolOf(testPool).meanService = 0.5 }, 0},
		{"the pool serves generations", func(s *Scheduler) { s.poolOf(testPool).engine = &route.Engine{KVCacheTokens: 100_000} }, 0},
		{"the request can't be repeated", func(s *Scheduler) { s.queued["queued"].request.Retryable = false }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := heldScheduler(t)
			c.prepare(s)
			sent := 0
			for ms := 1200; ms < 2100; ms += 100 {
				sent += len(dispatched(t, s, ms))
			}
			if sent != c.want {
				t.Errorf("%d requests sent, want %d", sent, c.want)
			}
		})
	}
}

// Guards against slots that count as taken by requests of a host that reaches no target.
func TestRequestsOfAHostThatIsCutOffHoldNoSlots(t *testing.T) {
	s := heldScheduler(t)
	s.ApplyPeerState(at(1150), "other", held([]ident.Pool{"elsewhere"}))
	if n := freeSlots(at(1150), s.poolOf(testPool).targets); n != 0 {
		t.Errorf("%d free slots, want none while the host reaches the pool", n)
	}
	s.ApplyPeerState(at(1160), "other", held([]ident.Pool{testPool}))
	if n := freeSlots(at(1160), s.poolOf(testPool).targets); n != 3 {
		t.Errorf("%d free slots, want 3", n)
	}
}
