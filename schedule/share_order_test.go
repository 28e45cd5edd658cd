package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

func teamRequest(id string, ms int, team ident.Team) Request {
	r := request(id, ms, 0)
	r.Team = team
	return r
}

// order returns the queued requests of the pool in the order of service.
func order(s *Scheduler) []string {
	var ids []string
	for _, w := range s.pools["p"].queue.items {
		ids = append(ids, string(w.request.ID))
	}
	return ids
}

// enqueueTwoTeams queues four requests of one team and then one of another.
func enqueueTwoTeams(s *Scheduler) {
	s.Enqueue(at(0), teamRequest("running", 0, "large"))
	s.Decide(at(0))
	for i := range 4 {
		s.Enqueue(at(1+i), teamRequest(fmt.Sprint("large", i), 1+i, "large"))
	}
	s.Enqueue(at(5), teamRequest("small", 5, "small"))
}

// TestSufficientCapacityIsNotShared guards against shares that change decisions while capacity
// is sufficient: teams are then served by their latest starts.
func TestSufficientCapacityIsNotShared(t *testing.T) {
	s := newSharingScheduler(1)
	long := 10 * time.Second
	for i, team := range []ident.Team{"large", "large", "large", "small"} {
		r := teamRequest(fmt.Sprint(i), i, team)
		r.Objective, r.AbandonTime, r.Deadline = r.Arrived.Add(long), r.Arrived.Add(2*long), r.Arrived.Add(2*long)
		s.Enqueue(at(i), r)
		if i == 0 {
			s.Decide(at(i))
		}
	}
	s.Decide(at(5))
	if got, want := order(s), []string{"1", "2", "3"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want that of the latest starts, %v", got, want)
	}
	if events, state := s.TakeScarcityEvents(), s.LocalState(at(5)); len(events) > 0 || len(state.TeamLoads) > 0 {
		t.Errorf("events %v, loads %v, want none", events, state.TeamLoads)
	}
}

// TestScarceCapacityIsSharedWithinARank guards against an order by arrival, and against shares
// that override ranks.
func TestScarceCapacityIsSharedWithinARank(t *testing.T) {
	s := newSharingScheduler(4)
	s.poolOf("p").shares.recordShortage(at(0))
	enqueueTwoTeams(s)
	s.Decide(at(6))
	s.Enqueue(at(7), teamRequest("a", 7, "large"))
	s.Enqueue(at(8), teamRequest("b", 8, "fresh"))
	urgent := teamRequest("c", 9, "large")
	urgent.Rank.Route = -1
	s.Enqueue(at(9), urgent)
	if got := order(s); len(got) < 2 || got[0] != "c" || got[1] != "b" {
		t.Errorf("order %v, want the more urgent rank and then the team without use", got)
	}
}

// TestUseOfIdleCapacityIsNotCharged guards against a team that loses capacity for what it used
// while capacity was idle.
func TestUseOfIdleCapacityIsNotCharged(t *testing.T) {
	s := newSharingScheduler(4)
	for i := range 50 {
		id := fmt.Sprint("early", i)
		s.Enqueue(at(10*i), teamRequest(id, 10*i, "large"))
		s.Decide(at(10 * i))
		s.Finish(at(10*i+5), ident.Request(id), Served)
	}
	p := s.poolOf("p")
	if level := p.shares.accounts.Level(at(500), shareKey(&Request{Team: "large"})); level != 0 {
		t.Errorf("level %v after capacity was idle, want 0", level)
	}
}

// TestOtherHostsUseCounts guards against shares that hold only at each host: a host that has
// just started orders teams by what the others report.
func TestOtherHostsUseCounts(t *testing.T) {
	s := newSharingScheduler(1)
	s.ApplyPeerState(at(0), "b", State{TeamLoads: []TeamLoad{
		{Pool: "p", Team: "large", Used: 3 * time.Second, Queued: time.Second},
		{Pool: "p", Team: "small", Used: 100 * time.Millisecond, Queued: time.Millisecond},
	}})
	enqueueTwoTeams(s)
	if got := order(s); len(got) == 0 || got[0] != "small" {
		t.Errorf("order %v, want the team first that used less at the other host", got)
	}
}

// TestRequestThatCannotStartInTimeIsRefusedEarly guards against refusals that leave no time for
// a retry: they come in the first eighth of the latency objective.
func TestRequestThatCannotStartInTimeIsRefusedEarly(t *testing.T) {
	s := newSharingScheduler(1)
	s.poolOf("p").shares.recordShortage(at(0))
	refused := 0
	for i := range 40 {
		s.Enqueue(at(i), teamRequest(fmt.Sprint(i), i, "large"))
		for _, action := range s.Decide(at(i)) {
			if _, ok := action.(*Refuse); ok {
				refused++
			}
		}
	}
	// One slot serves a request in 0.5 s at first, so that of 40 with an objective of 0.6 s at
	// most two can start in time.
	if refused < 38-1 {
		t.Errorf("%d of 40 requests refused on arrival, want all that can't start in time", refused)
	}
}

// TestAggregateSumsTeamLoads guards against aggregates that hold only the sender's loads.
func TestAggregateSumsTeamLoads(t *testing.T) {
	s := newSharingScheduler(1)
	for _, host := range []ident.Host{"b", "c"} {
		s.ApplyPeerState(at(0), host, State{TeamLoads: []TeamLoad{{Pool: "p", Team: "large", Used: time.Second, Queued: time.Second}}})
	}
	aggregate, _ := s.AggregateState(at(0))
	if len(aggregate.TeamLoads) != 1 || aggregate.TeamLoads[0].Used != 2*time.Second || aggregate.TeamLoads[0].Queued != 2*time.Second {
		t.Errorf("got %+v, want the sum of two hosts", aggregate.TeamLoads)
	}
}

// newSharingScheduler is newScheduler with fair shares.
func newSharingScheduler(slots ...int) *Scheduler {
	s := New(Options{DataCentre: "near", Random: func() float64 { return 0 }, FairShares: true})
	s.Configure(start, pools(), engines(slots...))
	return s
}

// Guards against shares where the settings of a host don't ask for them.
func TestTeamsDoNotShareUnlessConfigured(t *testing.T) {
	s := newScheduler(1)
	s.poolOf("p").shares.recordShortage(at(0))
	if s.poolOf("p").shares.scarce(at(0)) || len(s.LocalState(at(1)).TeamLoads) > 0 {
		t.Error("capacity counts as scarce although fair shares are off")
	}
}
