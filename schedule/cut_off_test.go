package schedule

import (
	"slices"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
)

// passable returns a request that another host may serve.
func passable(id string, ms int) Request {
	r := request(id, ms, 0)
	r.MayPassOn = true
	return r
}

// diverted returns the hosts to which requests are passed on.
func diverted(s *Scheduler, ms int) map[ident.Request][]ident.Host {
	hosts := make(map[ident.Request][]ident.Host)
	for _, action := range s.Decide(at(ms)) {
		if d, ok := action.(*Divert); ok {
			hosts[d.Request] = d.Hosts
		}
	}
	return hosts
}

func TestRequestIsPassedOnToAHostThatReachesThePool(t *testing.T) {
	s := newScheduler(1)
	const pool = ident.Pool("p")
	s.Enqueue(at(0), passable("running", 0))
	s.Enqueue(at(0), passable("queued", 0))
	dispatched(t, s, 0)
	s.ApplyPeerState(at(0), "whole", State{})
	s.ApplyPeerState(at(0), "cut off too", State{CutOff: []ident.Pool{pool}})
	s.ApplyPeerState(at(0), "stopping", State{Leaving: true})
	s.SetCutOff(at(10), pool, true)
	passedOn := passable("passed on", 10)
	passedOn.MayPassOn = false
	s.Enqueue(at(10), passedOn)
	s.Enqueue(at(10), passable("new", 10))
	got := diverted(s, 10)
	for _, id := range []ident.Request{"queued", "new"} {
		if !slices.Equal(got[id], []ident.Host{"whole"}) {
			t.Errorf("request %s: passed on to %v, want the host that reaches the pool", id, got[id])
		}
	}
	if len(got) != 2 {
		t.Errorf("got %v, want two requests passed on", got)
	}
}

func TestRequestIsNotPassedOnIfNoHostReachesThePool(t *testing.T) {
	s := newScheduler(1)
	const pool = ident.Pool("p")
	s.ApplyPeerState(at(0), "cut off too", State{CutOff: []ident.Pool{pool}})
	s.SetCutOff(at(0), pool, true)
	s.Enqueue(at(0), passable("new", 0))
	if _, ok := dispatched(t, s, 0)["new"]; !ok {
		t.Error("the request was not dispatched here")
	}
}

func TestStateOfASilentHostIsNoReasonToPassRequestsOn(t *testing.T) {
	s := newScheduler(1)
	const pool = ident.Pool("p")
	s.ApplyPeerState(at(0), "silent", State{})
	s.SetCutOff(at(0), pool, true)
	now := int(passOnStateAge.Milliseconds()) + 1
	s.Enqueue(at(now), passable("new", now))
	if got := diverted(s, now); len(got) != 0 {
		t.Errorf("got %v, want no request passed on", got)
	}
	s.SetDistantHosts([]ident.Host{"distant"})
	s.Enqueue(at(now), passable("next", now))
	if got := diverted(s, now); !slices.Equal(got["next"], []ident.Host{"distant"}) {
		t.Errorf("got %v, want the request passed on to the distant host", got)
	}
}

func TestPoolIsSilentOnlyIfNoTargetResponds(t *testing.T) {
	s := newScheduler(1, 1)
	const pool = ident.Pool("p")
	s.Enqueue(at(0), request("one", 0, 0))
	s.Enqueue(at(0), request("other", 0, 0))
	dispatched(t, s, 0)
	late := int(silentTime.Milliseconds()) + 1
	if got := s.SilentPools(at(late)); !slices.Equal(got, []ident.Pool{pool}) {
		t.Errorf("got silent pools %v, want one with unanswered requests", got)
	}
	s.ReportLoad(at(late), "one", 1)
	if got := s.SilentPools(at(late + 1)); len(got) != 0 {
		t.Errorf("got silent pools %v although a target has responded", got)
	}
	s.Finish(at(late+2), "other", Unreachable)
	quiet := late + int(quietTime.Milliseconds()) + 1
	if got := s.SilentPools(at(quiet)); !slices.Equal(got, []ident.Pool{pool}) {
		t.Errorf("got silent pools %v, want one after a failure to connect", got)
	}
}

func TestEjectionsByAHostThatIsCutOffAreNotReported(t *testing.T) {
	s := newScheduler(1)
	const pool = ident.Pool("p")
	s.Enqueue(at(0), request("one", 0, 0))
	dispatched(t, s, 0)
	s.Finish(at(10), "one", Unreachable)
	s.SetCutOff(at(10), pool, true)
	for _, o := range s.LocalState(at(11)).Observations {
		if o.Ejected {
			t.Error("the host reports an ejection, want none")
		}
	}
	s.SetCutOff(at(20), pool, false)
	s.Enqueue(at(21), request("two", 21, 0))
	if _, ok := dispatched(t, s, 21)["two"]; !ok {
		t.Error("the target is not in use again")
	}
}
