package schedule

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// plainScheduler returns a scheduler of one of a number of hosts in the data centre "near", with a plain
// service that has a target of six slots there and one in the data centre "far".
func plainScheduler(hosts int) *Scheduler {
	s := New(Options{Host: "h0", DataCentre: "near", Random: func() float64 { return 0.5 }})
	others := make(map[ident.Host]ident.DataCentre)
	for i := 1; i < hosts; i++ {
		others[ident.Host(fmt.Sprint("h", i))] = "near"
	}
	s.SetPeers(start, others)
	s.Configure(start, map[ident.Pool]*route.Pool{"p": {Name: "p"}}, &route.TargetSnapshot{Targets: map[ident.Target]route.Target{
		"local":  {Name: "local", Pool: "p", DataCentre: "near", Slots: 6},
		"remote": {Name: "remote", Pool: "p", DataCentre: "far", Slots: 6},
	}})
	return s
}

// respond makes a target serve a number of requests of a response time each, in milliseconds.
func respond(s *Scheduler, name ident.Target, ms, count, took int) {
	for i := range count {
		r := request(fmt.Sprint(name, ms, i), ms, 0)
		s.running[r.ID] = &runningRequest{request: &r, target: s.targets[name], dispatchedAt: at(ms)}
		s.targets[name].running++
		s.Finish(at(ms+took), r.ID, Served)
	}
}

// Guards against a constant distance where responses show another one, against a distance from too few
// responses, and against one that lasts longer than 10 s without a response.
func TestDistanceIsMeasuredAndExpires(t *testing.T) {
	s := plainScheduler(40)
	remote := s.targets["remote"]
	respond(s, "local", 0, 3, 30)
	respond(s, "remote", 0, 2, 41)
	if got := s.distanceCost(at(50), remote); got != remotePenalty {
		t.Errorf("cost %v with two responses, want the constant", got)
	}
	respond(s, "remote", 50, 1, 45)
	if got := s.distanceCost(at(200), remote); math.Abs(got-0.011) > 1e-9 {
		t.Errorf("cost %v, want 0.011", got)
	}
	if got := s.distanceCost(at(10_096), remote); got != remotePenalty {
		t.Errorf("cost %v after 10 s without a response, want the constant", got)
	}
}

// Guards against a change in systems of up to 16 hosts: the cost differs from the former one by at most
// 1 ms unless the distance is larger, and slots are counted as before.
func TestSmallSystemsChooseAsBefore(t *testing.T) {
	s := plainScheduler(16)
	p, remote := s.pools["p"], s.targets["remote"]
	demands := []Demand{{Pool: "p", ArrivalRate: 200, MeanSlots: 6}}
	s.ApplyPeerState(at(0), "h1", State{Demands: demands, Loads: []TargetLoad{{Target: "remote", Running: 6}}})
	s.Decide(at(1))
	if got := s.localityCost(at(1), p, remote); got != remotePenalty {
		t.Errorf("cost %v, want %v", got, remotePenalty)
	}
	if busy, free := remote.busySlots(at(400)), remote.freeSlots(at(400)); busy != 6 || free != 0 {
		t.Errorf("%d busy and %d free slots, want 6 and none", busy, free)
	}
	respond(s, "local", 2, 3, 30)
	respond(s, "remote", 2, 3, 31)
	if got := s.localityCost(at(100), p, remote); math.Abs(got-remotePenalty) > 0.001 {
		t.Errorf("cost %v with a distance of 1 ms, want %v", got, remotePenalty)
	}
	s = plainScheduler(16)
	respond(s, "local", 0, 3, 30)
	respond(s, "remote", 0, 3, 50)
	if got := s.localityCost(at(100), s.pools["p"], s.targets["remote"]); math.Abs(got-0.02) > 1e-9 {
		t.Errorf("cost %v with a distance of 20 ms, want that", got)
	}
}

// Guards against a cost of late states that does not follow from the service time: of a service that
// takes 30 ms, nothing that is older counts, so that the cost stays far below the constant of 100 ms.
func TestStalenessFollowsServiceTime(t *testing.T) {
	s := plainScheduler(40)
	p, remote := s.pools["p"], s.targets["remote"]
	s.ApplyDataCentreState(at(0), "far", 20, State{})
	if got := s.stalenessCost(at(1), p, remote); got != aggregatedPenalty {
		t.Errorf("cost %v before demand is known, want the constant", got)
	}
	s.ApplyDataCentreState(at(10), "far", 20, State{Demands: []Demand{{Pool: "p", ArrivalRate: 100, MeanSlots: 3}}})
	// 50 requests per second and target in 30 ms, of which each takes a sixth of 30 ms.
	if got := s.stalenessCost(at(200), p, remote); math.Abs(got-0.0075) > 1e-9 {
		t.Errorf("cost %v, want 0.0075", got)
	}
}

// Guards against a refusal or a wait while the only local target has been full for a second and a remote one has free slots,
// also with the newest aggregate 0.2 s old and a report of capacity that is scarce elsewhere.
func TestFullLocalTargetLeavesRemoteSlots(t *testing.T) {
	for _, running := range []int{6, 14} {
		t.Run(fmt.Sprint(running), func(t *testing.T) { checkRemoteSlotsUsed(t, running) })
	}
}

func checkRemoteSlotsUsed(t *testing.T, running int) {
	t.Helper()
	s := plainScheduler(40)
	for ms := -1000; ms <= 0; ms += 100 {
		s.ApplyPeerState(at(ms), "h1", State{
			Demands:   []Demand{{Pool: "p", ArrivalRate: 200, MeanSlots: 6}},
			Loads:     []TargetLoad{{Target: "local", Running: running}},
			TeamLoads: []TeamLoad{{Pool: "p", Used: 12 * time.Second, Queued: time.Millisecond}},
		})
		s.ApplyDataCentreState(at(ms), "far", 20, State{})
	}
	for i := range 6 {
		r := request(fmt.Sprint("r", i), 200, 3)
		r.PromptTokens, r.OutputTokens = 0, 0
		r.Arrived, r.Objective, r.AbandonTime, r.Deadline = at(200), at(400), at(1000), at(1000)
		s.Enqueue(at(200), r)
		for _, action := range s.Decide(at(200)) {
			if d, ok := action.(*Dispatch); !ok || d.Target.Name != "remote" {
				t.Fatalf("request %d: %+v, want it at the remote target", i, action)
			}
		}
		if s.Queued() > 0 {
			t.Fatalf("request %d waits while the remote target has free slots", i)
		}
	}
}
