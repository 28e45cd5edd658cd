package schedule

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

func TestTargetIsEjectedAfterFailures(t *testing.T) {
	cases := []struct {
		name    string
		results []Result
		usable  bool
	}{
		{"one broken response", []Result{Broken}, true},
		{"two broken responses", []Result{Broken, Broken}, false},
		{"a served request between", []Result{Broken, Served, Broken}, true},
		{"one failed connection", []Result{Unreachable}, false},
		{"another target at the address", []Result{Misaddressed}, false},
		{"abandoned requests", []Result{Abandoned, Abandoned, Abandoned}, true},
		{"error responses", []Result{Failed, Failed}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h health
			for i, result := range c.results {
				h.recordResult(at(i), result)
			}
			if got := h.usable(at(len(c.results))); got != c.usable {
				t.Errorf("usable: got %v", got)
			}
		})
	}
}

func TestEjectionEndsWithOneProbeAtATime(t *testing.T) {
	var h health
	h.recordResult(at(0), Unreachable)
	after := at(int(unreachableEjection.Milliseconds()) + 1)
	if !h.usable(after) {
		t.Fatal("the target is still ejected after the ejection time")
	}
	h.recordDispatch()
	if h.usable(after) {
		t.Error("a second request is allowed while the probe is in flight")
	}
	h.recordResult(after, Served)
	if !h.usable(after) || h.probation {
		t.Error("a successful probe does not end the probation")
	}
}

func TestFailedProbesExtendTheEjection(t *testing.T) {
	var h health
	now, last := at(0), time.Duration(0)
	for range 8 {
		h.recordResult(now, Unreachable)
		ejection := h.ejectedUntil.Sub(now)
		if ejection < last || ejection > maxEjection {
			t.Fatalf("ejected for %v after %v", ejection, last)
		}
		now, last = h.ejectedUntil, ejection
	}
}

func TestIsOutlier(t *testing.T) {
	cases := []struct {
		name      string
		own, pool resultCounts
		want      bool
	}{
		{"fails half, others succeed", resultCounts{successes: 3, failures: 3}, resultCounts{successes: 60, failures: 4}, true},
		{"fails like all others", resultCounts{successes: 3, failures: 3}, resultCounts{successes: 30, failures: 28}, false},
		{"too few results", resultCounts{successes: 0, failures: 2}, resultCounts{successes: 60, failures: 2}, false},
		{"fails seldom", resultCounts{successes: 20, failures: 4}, resultCounts{successes: 60, failures: 4}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := isOutlier(c.own, c.pool); got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func TestOutlierIsEjectedUnlessTooFewTargetsRemain(t *testing.T) {
	s := newScheduler(7, 7, 7, 7)
	s.targets["t0"].health.results = resultCounts{successes: 1, failures: 5, updatedAt: at(0)}
	for _, name := range []ident.Target{"t1", "t2", "t3"} {
		s.targets[name].health.results = resultCounts{successes: 10, updatedAt: at(0)}
	}
	s.Decide(at(0))
	if usable := s.pools["p"].usableTargets(at(0)); len(usable) != 3 {
		t.Errorf("%d targets are usable, want the 3 that do not fail", len(usable))
	}
	if events := s.TakeHealthEvents(); len(events) != 1 || events[0].Target != "t0" || !events[0].Ejected {
		t.Errorf("got health events %+v, want one ejection of t0", events)
	}
	for _, name := range []ident.Target{"t1", "t2", "t3"} {
		s.targets[name].health.eject(at(0), baseEjection)
	}
	s.targets["t0"].health = health{results: resultCounts{successes: 1, failures: 5, updatedAt: at(0)}}
	s.Decide(at(1))
	if usable := s.pools["p"].usableTargets(at(1)); len(usable) != 1 {
		t.Error("want one usable target, the one that responds to some requests")
	}
}

func TestUnresponsiveTargetIsEjected(t *testing.T) {
	s := newScheduler(7)
	s.Enqueue(at(0), request("a", 0, 0))
	dispatched(t, s, 0)
	s.Decide(at(int(unresponsiveTimeout.Milliseconds()) + 10))
	if s.targets["t0"].health.usable(at(int(unresponsiveTimeout.Milliseconds()) + 11)) {
		t.Error("a target that does not respond to a request is still usable")
	}
}

func TestErrorResponseEndsProbationOfUnreachableTarget(t *testing.T) {
	var h health
	h.recordResult(at(0), Unreachable)
	h.recordDispatch()
	h.recordResult(at(300), Failed)
	if !h.usable(at(301)) || h.probation {
		t.Error("a target that responds again, with an error, is still ejected")
	}
}

func TestErrorResponseKeepsErringTargetEjected(t *testing.T) {
	var h health
	h.eject(at(0), baseEjection)
	h.ejectedForErrors = true
	h.recordDispatch()
	h.recordResult(at(500), Failed)
	if h.usable(at(501)) {
		t.Error("a target ejected for its errors is usable after another error")
	}
}

func TestEjectedTargetsAreUsedWhenAllAreEjected(t *testing.T) {
	s := newScheduler(4, 4)
	for _, target := range s.targets {
		target.lastResponseAt = at(0)
		target.health.eject(at(0), baseEjection)
	}
	s.Enqueue(at(10), request("a", 10, 0))
	if sent := dispatched(t, s, 10); len(sent) != 1 {
		t.Error("the request was not dispatched although both targets responded recently")
	}
}

// A host that started a moment ago has had no response of its own.
func TestNewHostUsesTargetsThatOnlyOthersEjected(t *testing.T) {
	s := newScheduler(4, 4)
	for host, target := range map[ident.Host]ident.Target{"b": "t0", "c": "t1"} {
		s.ApplyPeerState(at(0), host, State{Observed: true, Observations: []Observation{{Target: target, Ejected: true}}})
	}
	s.Enqueue(at(10), request("a", 10, 0))
	if sent := dispatched(t, s, 10); len(sent) != 1 {
		t.Error("the request was not dispatched although this host has ejected no target")
	}
}

// A host without requests ejected a target, and another host has requests for it.
func TestTargetIsUsedAgainAlthoughItsEjectorSendsNoProbe(t *testing.T) {
	idle, busy := newScheduler(4, 4), newScheduler(4, 4)
	idle.targets["t0"].health.eject(at(0), baseEjection)
	for _, c := range []struct {
		ms         int
		wantUsable int
	}{{500, 1}, {int((baseEjection + probeWindow).Milliseconds()), 2}} {
		busy.ApplyPeerState(at(c.ms), "idle", idle.LocalState(at(c.ms)))
		if usable := busy.pools["p"].usableTargets(at(c.ms)); len(usable) != c.wantUsable {
			t.Errorf("%d ms after the ejection: %d targets are usable, want %d", c.ms, len(usable), c.wantUsable)
		}
	}
}

func TestOneSlowRequestDoesNotEjectPlainService(t *testing.T) {
	s := New(Options{Random: func() float64 { return 0 }})
	s.Configure(at(0), map[ident.Pool]*route.Pool{"p": {Name: "p"}}, engines(4))
	s.Enqueue(at(0), request("a", 0, 0))
	dispatched(t, s, 0)
	s.Decide(at(700))
	if !s.targets["t0"].health.usable(at(701)) {
		t.Error("a target was ejected for one slow request")
	}
}

func TestPlainServiceEjectedByOneOtherHostIsUsed(t *testing.T) {
	s := New(Options{Random: func() float64 { return 0 }})
	s.Configure(at(0), map[ident.Pool]*route.Pool{"p": {Name: "p"}}, engines(4))
	s.ApplyPeerState(at(0), "b", State{Observed: true, Observations: []Observation{{Target: "t0", Ejected: true}}})
	s.Enqueue(at(1), request("a", 1, 0))
	if sent := dispatched(t, s, 1); len(sent) != 1 {
		t.Error("a target that only one other host ejected got no request")
	}
}
