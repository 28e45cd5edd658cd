package schedule

import (
	"fmt"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
)

// newRatedScheduler returns a scheduler among so many hosts that requests are admitted by rates.
func newRatedScheduler(slots ...int) *Scheduler {
	s := newSharingScheduler(slots...)
	others := make(map[ident.Host]ident.DataCentre)
	for i := range maxOrderedHosts + 4 {
		others[ident.Host(fmt.Sprint("h", i))] = "near"
	}
	s.SetPeers(at(0), others)
	return s
}

// reportLoad applies a state in which another host runs requests on a target.
func reportLoad(s *Scheduler, ms, running int) {
	s.ApplyPeerState(at(ms), "h0", State{Loads: []TargetLoad{{Target: "t0", Running: running}}})
}

// TestLateRequestLeavesSlotsToOthers guards against late requests that take the last slots while
// other hosts have requests that can still be on time.
func TestLateRequestLeavesSlotsToOthers(t *testing.T) {
	s := newRatedScheduler(10)
	s.poolOf("p").shares.recordShortage(at(0))
	reportLoad(s, 0, 9)
	late := request("late", 0, 0)
	late.Objective = at(0)
	s.Enqueue(at(0), late)
	if sent := dispatched(t, s, 0); len(sent) > 0 {
		t.Errorf("dispatched %v with one of ten slots free, want none", sent)
	}
	reportLoad(s, 30, 2)
	if sent := dispatched(t, s, 30); len(sent) != 1 {
		t.Errorf("dispatched %v with eight of ten slots free, want the late request", sent)
	}
}

// TestRatesRefuseNothingWithoutOverload guards against refusals while all demand fits: capacity
// counts as scarce because one request was late.
func TestRatesRefuseNothingWithoutOverload(t *testing.T) {
	s := newRatedScheduler(50)
	s.poolOf("p").shares.recordShortage(at(0))
	for i := range 20 {
		s.Enqueue(at(10*i), request(fmt.Sprint(i), 10*i, 0))
		for _, action := range s.Decide(at(10 * i)) {
			if refusal, ok := action.(*Refuse); ok {
				t.Errorf("request %d refused: %s", i, refusal.Message)
			}
		}
		s.Finish(at(10*i+5), ident.Request(fmt.Sprint(i)), Served)
	}
}

// BenchmarkDecisionInOverload measures the arrival of a request at one of 89 hosts, with 90 targets,
// while capacity is scarce: its refusal or dispatch.
func BenchmarkDecisionInOverload(b *testing.B) {
	for _, hosts := range []int{16, 89} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			slots := make([]int, 90)
			for i := range slots {
				slots[i] = 6
			}
			s := newSharingScheduler(slots...)
			others := make(map[ident.Host]ident.DataCentre)
			for i := range hosts - 1 {
				others[ident.Host(fmt.Sprint("h", i))] = "near"
			}
			s.SetPeers(at(0), others)
			for i := range hosts - 1 {
				state := State{TeamLoads: []TeamLoad{{Pool: "p", Team: "a", Used: at(5).Sub(at(0)), Queued: at(900).Sub(at(0))}}}
				for j := range 6 {
					state.Loads = append(state.Loads, TargetLoad{Target: ident.Target(fmt.Sprint("t", (6*i+j)%90)), Running: max(540/(6*hosts), 1)})
				}
				state.Backlogs = []Backlog{{Pool: "p", Count: 1}}
				s.ApplyPeerState(at(0), ident.Host(fmt.Sprint("h", i)), state)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s.poolOf("p").shares.recordShortage(at(0))
				s.Enqueue(at(0), teamRequest(fmt.Sprint(i), 0, ident.Team(fmt.Sprint("team", i%4))))
				for _, action := range s.Decide(at(0)) {
					if _, ok := action.(*Dispatch); ok {
						s.Finish(at(0), action.RequestID(), Served)
					}
				}
				if len(s.queued) > 20 {
					for id := range s.queued {
						s.Cancel(id)
					}
				}
			}
		})
	}
}
