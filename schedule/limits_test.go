package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/targetlimit"
)

func limitOf(perSecond float64) targetlimit.Statement {
	return targetlimit.Statement{Kind: targetlimit.Limited, PerSecond: perSecond}
}

var noLimit = targetlimit.Statement{Kind: targetlimit.Unlimited}

// limitPair returns two hosts before two targets, with the same state of each other.
func limitPair() (hosts []*Scheduler) {
	for _, name := range []ident.Host{"h1", "h2"} {
		s := New(Options{Host: name, DataCentre: "near", Random: func() float64 { return 0 }})
		other := ident.Host("h2")
		if name == other {
			other = "h1"
		}
		s.SetPeers(at(0), map[ident.Host]ident.DataCentre{other: "near"})
		s.Configure(at(0), map[ident.Pool]*route.Pool{"p": {Name: "p"}}, engines(4, 4))
		hosts = append(hosts, s)
	}
	return hosts
}

// exchangeStates makes the hosts send each other their states.
func exchangeStates(hosts []*Scheduler, ms int) {
	for i, s := range hosts {
		hosts[1-i].ApplyPeerState(at(ms), s.host, s.LocalState(at(ms)))
	}
}

// stateLimits makes targets state a limit in responses to a host.
func stateLimits(s *Scheduler, ms int, statement targetlimit.Statement, names ...ident.Target) {
	for _, name := range names {
		s.RecordLimit(at(ms), s.targets[name].Target, statement)
	}
}

// keeperOf returns the host that has a rate for a target, and the other one.
func keeperOf(t *testing.T, hosts []*Scheduler, ms int, name ident.Target) (keeper, other *Scheduler) {
	t.Helper()
	for i, s := range hosts {
		_ = s.Decide(at(ms))
		if s.targets[name].pacer.Rate() > 0 {
			if hosts[1-i].targets[name].pacer.Rate() > 0 {
				t.Fatal("both hosts have a rate")
			}
			return s, hosts[1-i]
		}
	}
	t.Fatal("no host has a rate")
	return nil, nil
}

func TestRequestIsRefusedAtOnceIfAnotherHostHasTheRates(t *testing.T) {
	hosts := limitPair()
	stateLimits(hosts[0], 0, limitOf(2), "t0")
	exchangeStates(hosts, 10)
	exchangeStates(hosts, 40)
	_, other := keeperOf(t, hosts, 60, "t0")
	limited := other.targets["t1"]
	limited.Draining = true
	other.Enqueue(at(70), request("refused", 70, 0))
	actions := other.Decide(at(70))
	if len(actions) != 1 {
		t.Fatalf("got actions %v, want a refusal", actions)
	}
	r, ok := actions[0].(*Refuse)
	if !ok || r.Reason != outcome.TargetsLimited || r.RetryAfter < 500*time.Millisecond || r.Inputs.LimitedTargets != 1 {
		t.Errorf("got %+v, want a refusal because of the limit, with at least one interval as Retry-After", actions[0])
	}
}

func TestTargetWithLimitGetsItsShareAndOthersTheRest(t *testing.T) {
	hosts := limitPair()
	stateLimits(hosts[0], 0, limitOf(2), "t0")
	counts := make(map[ident.Target]int)
	for ms := 0; ms < 10_000; ms += 20 {
		exchangeStates(hosts, ms)
		for i, s := range hosts {
			id := fmt.Sprintf("%d-%d", i, ms)
			s.Enqueue(at(ms), request(id, ms, 0))
			for r, name := range dispatched(t, s, ms) {
				counts[name]++
				s.Finish(at(ms), r, Served)
			}
		}
	}
	if counts["t0"] < 17 || counts["t0"] > 21 {
		t.Errorf("the target got %d requests in ten seconds, want about 20", counts["t0"])
	}
	if counts["t0"]+counts["t1"] != 1000 {
		t.Errorf("%d of 1000 requests were dispatched", counts["t0"]+counts["t1"])
	}
}

func TestRepeatedRunsSpendNoLimit(t *testing.T) {
	s := limitPair()[0]
	s.SetPeers(at(0), nil)
	stateLimits(s, 0, limitOf(10), "t0", "t1")
	_ = s.Decide(at(0))
	r := request("repeat", 2000, 0)
	r.Repeat = true
	s.Enqueue(at(2000), r)
	checkRefused(t, s, 2000, "repeat", outcome.TargetsLimited)
	if target := runOn(t, s, 2010, request("first", 2010, 0)); target.Name == "" {
		t.Error("a first run was not dispatched")
	}
}

func TestQueueIsAsLongAsTheRatesAllow(t *testing.T) {
	s := limitPair()[0]
	s.SetPeers(at(0), nil)
	stateLimits(s, 0, limitOf(2), "t0", "t1")
	_ = s.Decide(at(0))
	queued := 0
	for n := range 20 {
		s.Enqueue(at(1), request(fmt.Sprint(n), 1, 0))
	}
	for _, action := range s.Decide(at(1)) {
		r, ok := action.(*Refuse)
		if !ok || r.Reason != outcome.Shed || r.RetryAfter <= 0 {
			t.Errorf("got %+v, want a refusal with Retry-After", action)
		}
	}
	queued = s.Queued()
	// Four requests a second can be dispatched, and a late one is refused after a second.
	if queued < 3 || queued > 5 {
		t.Errorf("%d requests are queued, want those that the rates allow within a second", queued)
	}
}

func TestMoreUrgentRequestGetsTheNextOfALimit(t *testing.T) {
	s := limitPair()[0]
	s.SetPeers(at(0), nil)
	stateLimits(s, 0, limitOf(2), "t0", "t1")
	_ = s.Decide(at(0))
	s.targets["t1"].Draining = true
	s.Enqueue(at(100), request("less", 100, 3))
	s.Enqueue(at(200), request("more", 200, 1))
	for ms := 200; ms < 1000; ms += 10 {
		for id := range dispatched(t, s, ms) {
			if id != "more" {
				t.Errorf("request %s was dispatched first", id)
			}
			return
		}
	}
	t.Error("no request was dispatched")
}

func TestEndOfALimitReachesAllHosts(t *testing.T) {
	hosts := limitPair()
	stateLimits(hosts[0], 0, limitOf(1), "t0")
	for ms := 0; ms < 5000; ms += 10 {
		exchangeStates(hosts, ms)
	}
	stateLimits(hosts[1], 5000, noLimit, "t0")
	for ms := 5010; ms < 5100; ms += 10 {
		exchangeStates(hosts, ms)
	}
	for _, s := range hosts {
		if s.targets["t0"].limited() {
			t.Errorf("the limit is still in force at %s", s.host)
		}
		if events := s.TakeLimitEvents(); len(events) != 2 || events[1].After != noLimit {
			t.Errorf("got events %+v at %s, want the statement and its end", events, s.host)
		}
	}
}

func TestLimitOfAnEarlierProcessIsForgotten(t *testing.T) {
	hosts := limitPair()
	s := hosts[0]
	stateLimits(s, 0, limitOf(1), "t0")
	earlier := s.LocalState(at(0))
	snapshot := engines(4, 4)
	next := snapshot.Targets["t0"]
	next.StartUnixMs = 99
	snapshot.Targets["t0"] = next
	s.Configure(at(100), map[ident.Pool]*route.Pool{"p": {Name: "p"}}, snapshot)
	s.ApplyPeerState(at(110), "h2", earlier)
	if s.targets["t0"].limited() {
		t.Error("a limit that an earlier process has stated is in force")
	}
}

func TestLeavingAndUnreachingHostsHandOver(t *testing.T) {
	for name, change := range map[string]func(*Scheduler, int){
		"leaving": func(s *Scheduler, _ int) { s.SetLeaving(at(3_600_000)) },
		"unable to reach the target": func(s *Scheduler, ms int) {
			s.targets["t0"].health.eject(at(ms), time.Minute)
			s.observationsUrgent = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			hosts := limitPair()
			stateLimits(hosts[0], 0, limitOf(1), "t0")
			exchangeStates(hosts, 10)
			exchangeStates(hosts, 40)
			before, other := keeperOf(t, hosts, 60, "t0")
			change(before, 100)
			for ms := 100; ms < 300; ms += 20 {
				exchangeStates(hosts, ms)
			}
			if after, _ := keeperOf(t, hosts, 300, "t0"); after != other {
				t.Error("the host that can't use the rate still has it")
			}
		})
	}
}

func TestHostThatHearsNoOtherUsesItsPart(t *testing.T) {
	s := limitPair()[0]
	stateLimits(s, 0, limitOf(2), "t0")
	_ = s.Decide(at(2000))
	if rate := s.targets["t0"].pacer.Rate(); rate != 1 {
		t.Errorf("got rate %f, want half of the limit", rate)
	}
}

func TestLimitIsNoSignOfIllness(t *testing.T) {
	s := limitPair()[0]
	s.SetPeers(at(0), nil)
	stateLimits(s, 0, limitOf(0), "t0")
	_ = s.Decide(at(0))
	stateLimits(s, 10, noLimit, "t0")
	if load := s.PoolLoads(at(20))[0]; load.Usable != 2 || load.Free != 8 {
		t.Errorf("got load %+v, want both targets usable with all slots", load)
	}
	if events := s.TakeHealthEvents(); len(events) != 0 {
		t.Errorf("got health events %+v, want none", events)
	}
}
