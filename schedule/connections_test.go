package schedule

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// idleConnectionScheduler returns a scheduler of targets that are no engines, for a host that keeps idle
// connections for 4 s.
func idleConnectionScheduler(slots ...int) *Scheduler {
	s := New(Options{DataCentre: "near", Random: func() float64 { return 0 }, ConnectionIdleTime: 4 * time.Second})
	s.Configure(start, map[ident.Pool]*route.Pool{"p": {Name: "p"}}, engines(slots...))
	return s
}

// run has the scheduler dispatch a request and returns its target.
func run(t *testing.T, s *Scheduler, id string, ms int) ident.Target {
	t.Helper()
	s.Enqueue(at(ms), request(id, ms, 0))
	to := dispatched(t, s, ms)[ident.Request(id)]
	if to == "" {
		t.Fatalf("%s was not dispatched after %d ms", id, ms)
	}
	return to
}

// Guards against a connection that is opened to an idle target although another idle one has one, and
// against an advantage that outweighs a busy slot or outlasts the connection.
func TestOpenConnectionDecidesBetweenTargetsOfEqualLoad(t *testing.T) {
	s := idleConnectionScheduler(6, 6, 6)
	first := run(t, s, "a", 0)
	second := run(t, s, "b", 10)
	if second == first {
		t.Fatalf("both requests went to %s though others were idle", first)
	}
	// A run that is abandoned closes its connection.
	s.Finish(at(60), "a", Abandoned)
	s.Finish(at(60), "b", Served)
	if got := run(t, s, "c", 100); got != second {
		t.Errorf("the third request went to %s, want %s, which is idle and has a connection", got, second)
	}
	s.Finish(at(160), "c", Served)
	s.pools["p"].meanService = 0.06
	s.targets[second].running++
	if got := run(t, s, "d", 200); got != first {
		t.Errorf("the fourth request went to %s, want %s, which is idle", got, first)
	}
	s.targets[second].running--
	s.Finish(at(260), "d", Served)
	if c := &s.targets[first].connections; c.hasIdle(at(4260), s.connectionIdleTime) || !c.hasIdle(at(4259), s.connectionIdleTime) {
		t.Error("the connection does not count as open for 4 s after its last request")
	}
}
