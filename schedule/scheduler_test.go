package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newScheduler returns a scheduler with one engine for each given number of slots.
func newScheduler(slots ...int) *Scheduler {
	s := New(Options{DataCentre: "near", Random: func() float64 { return 0 }})
	s.Configure(start, pools(), engines(slots...))
	return s
}

func pools() map[ident.Pool]*route.Pool {
	return map[ident.Pool]*route.Pool{"p": {Name: "p", Engine: &route.Engine{KVCacheTokens: 100_000}}}
}

func engines(slots ...int) *route.TargetSnapshot {
	snapshot := &route.TargetSnapshot{Targets: make(map[ident.Target]route.Target)}
	for i, n := range slots {
		name := ident.Target(fmt.Sprintf("t%d", i))
		snapshot.Targets[name] = route.Target{Name: name, Pool: "p", DataCentre: "near", Slots: n, Address: string(name)}
	}
	return snapshot
}

func request(id string, ms int, priority int) Request {
	return Request{
		ID:           ident.Request(id),
		Pool:         "p",
		Rank:         Rank{Route: priority},
		Arrived:      at(ms),
		Objective:    at(ms + 600),
		AbandonTime:  at(ms + 2000),
		Deadline:     at(ms + 6000),
		PromptTokens: 1000,
		OutputTokens: 50,
	}
}

// dispatched calls Decide and returns the target of each dispatched request.
func dispatched(t *testing.T, s *Scheduler, ms int) map[ident.Request]ident.Target {
	t.Helper()
	sent := make(map[ident.Request]ident.Target)
	for _, action := range s.Decide(at(ms)) {
		if d, ok := action.(*Dispatch); ok {
			sent[d.Request] = d.Target.Name
		}
	}
	return sent
}

func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	s := newScheduler(1)
	s.Enqueue(at(0), request("first", 0, 1))
	dispatched(t, s, 0)
	s.Enqueue(at(1), request("low", 1, 2))
	s.Enqueue(at(2), request("high", 2, 0))
	s.Finish(at(100), "first", Served)
	if sent := dispatched(t, s, 100); len(sent) != 1 || sent["high"] == "" {
		t.Errorf("sent %v, want the urgent request", sent)
	}
}

func TestTeamPriorityComesBeforeRoutePriority(t *testing.T) {
	s := newScheduler(1)
	s.Enqueue(at(0), request("first", 0, 0))
	dispatched(t, s, 0)
	route := request("route", 1, 0)
	route.Rank.Team = 1
	team := request("team", 2, 2)
	s.Enqueue(at(1), route)
	s.Enqueue(at(2), team)
	s.Finish(at(100), "first", Served)
	if sent := dispatched(t, s, 100); sent["team"] == "" {
		t.Errorf("sent %v, want the request of the team with the higher priority", sent)
	}
}

func TestFreeSlotIsLeftToAnotherHostsMoreUrgentRequest(t *testing.T) {
	s := newScheduler(1)
	s.Enqueue(at(0), request("first", 0, 1))
	dispatched(t, s, 0)
	s.Enqueue(at(1), request("own", 1, 1))
	s.ApplyPeerState(at(90), "b", State{Backlogs: []Backlog{{Pool: "p", Rank: Rank{Route: 0}, Count: 1, Laxity: 500 * time.Millisecond}}})
	s.Finish(at(100), "first", Served)
	if sent := dispatched(t, s, 100); len(sent) != 0 {
		t.Fatalf("sent %v, though another host's request comes first", sent)
	}
	if sent := dispatched(t, s, 120); sent["own"] == "" {
		t.Error("a slot that the other host does not use was not taken")
	}
}

func TestLoadOfOtherHostsIsCounted(t *testing.T) {
	s := newScheduler(2, 2)
	s.ApplyPeerState(at(0), "b", State{Loads: []TargetLoad{{Target: "t0", Running: 2}}})
	s.Enqueue(at(1), request("a", 1, 0))
	if sent := dispatched(t, s, 1); sent["a"] != "t1" {
		t.Errorf("sent %v, want the target that the other host does not use", sent)
	}
}

func TestLoadOfSilentHostExpires(t *testing.T) {
	s := newScheduler(1)
	s.ApplyPeerState(at(0), "b", State{Loads: []TargetLoad{{Target: "t0", Running: 1}}})
	s.ExpirePeers(at(3000))
	s.Enqueue(at(3000), request("a", 3000, 0))
	if sent := dispatched(t, s, 3000); len(sent) != 1 {
		t.Error("the load of a host whose state expired still counts")
	}
}

func TestDrainingTargetGetsNoRequests(t *testing.T) {
	s := newScheduler(1, 1)
	snapshot := engines(1, 1)
	draining := snapshot.Targets["t0"]
	draining.Draining = true
	snapshot.Targets["t0"] = draining
	s.Configure(at(0), pools(), snapshot)
	for i := range 4 {
		s.Enqueue(at(i), request(fmt.Sprint(i), i, 0))
	}
	for id, target := range dispatched(t, s, 10) {
		if target == "t0" {
			t.Errorf("%s was sent to the draining target", id)
		}
	}
}

func TestRequestIsRefusedAtOnceWithoutTargets(t *testing.T) {
	s := newScheduler()
	s.Enqueue(at(0), request("a", 0, 0))
	actions := s.Decide(at(0))
	refuse, ok := actions[0].(*Refuse)
	if !ok || refuse.Reason != outcome.NoTarget || refuse.RetryAfter <= 0 {
		t.Errorf("got %+v", actions[0])
	}
}

func TestRequestThatWouldExpireIsRefusedAtOnceWithRetryDelay(t *testing.T) {
	s := newScheduler(1)
	for i := range 40 {
		s.Enqueue(at(0), request(fmt.Sprint(i), 0, 0))
	}
	refused := 0
	for _, action := range s.Decide(at(0)) {
		r, ok := action.(*Refuse)
		if !ok {
			continue
		}
		refused++
		if r.RetryAfter < minRetryAfter || r.RetryAfter > 2*time.Second {
			t.Errorf("retry delay %v for a deadline in 6 s", r.RetryAfter)
		}
	}
	if refused == 0 {
		t.Error("40 requests of 0.5 s each wait for one slot, and none was refused")
	}
}

func TestQueuedRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	s := newScheduler(1)
	s.Enqueue(at(0), request("first", 0, 0))
	dispatched(t, s, 0)
	s.Enqueue(at(0), request("second", 0, 0))
	for ms := 0; ms <= 2000; ms += 10 {
		for _, action := range s.Decide(at(ms)) {
			if r, ok := action.(*Refuse); ok && r.Request == "second" {
				return
			}
		}
	}
	t.Error("the request was not refused before its caller disconnected")
}

func TestLateRequestsGoLast(t *testing.T) {
	s := newScheduler(1)
	s.Enqueue(at(0), request("first", 0, 0))
	dispatched(t, s, 0)
	s.Enqueue(at(0), request("late", 0, 0))
	dispatched(t, s, 590)
	s.Enqueue(at(590), request("fresh", 590, 2))
	s.Finish(at(600), "first", Served)
	if sent := dispatched(t, s, 600); sent["fresh"] == "" {
		t.Errorf("sent %v, want the request that can still be on time", sent)
	}
}

func TestRequestGoesToTargetWithCachedPrefix(t *testing.T) {
	s := newScheduler(7, 7, 7)
	r := request("a", 0, 0)
	r.PromptBlocks = []PromptBlock{{Hash: 1, Tokens: 100}, {Hash: 2, Tokens: 900}}
	s.Enqueue(at(0), r)
	first := dispatched(t, s, 0)["a"]
	s.RecordFirstEvent(at(50), "a")
	s.Finish(at(300), "a", Served)
	r.ID, r.Arrived, r.Objective = "b", at(400), at(1000)
	s.Enqueue(at(400), r)
	if second := dispatched(t, s, 400)["b"]; second != first {
		t.Errorf("the prompt is cached on %s, but the next request of its session was sent to %s", first, second)
	}
}

func TestRequestThatDoesNotFitInTheKVCacheGoesElsewhere(t *testing.T) {
	s := newScheduler(7, 7)
	large := request("large", 0, 0)
	large.PromptTokens = 80_000
	large.Objective = at(60_000)
	s.Enqueue(at(0), large)
	first := dispatched(t, s, 0)["large"]
	other := request("other", 1, 0)
	other.PromptTokens = 30_000
	other.Objective = at(60_000)
	s.Enqueue(at(1), other)
	if second := dispatched(t, s, 1)["other"]; second == first || second == "" {
		t.Errorf("requests with 110k tokens in total were sent to %q and %q, which hold 100k each", first, second)
	}
}

func TestExcludedTargetIsNotSelected(t *testing.T) {
	s := newScheduler(7, 7)
	r := request("a", 0, 0)
	r.ExcludedTargets = []ident.Target{"t0"}
	s.Enqueue(at(0), r)
	if sent := dispatched(t, s, 0); sent["a"] != "t1" {
		t.Errorf("sent %v, want t1", sent)
	}
}

func TestEndFreesTheSlotOnce(t *testing.T) {
	s := newScheduler(1)
	s.Enqueue(at(0), request("a", 0, 0))
	dispatched(t, s, 0)
	s.Finish(at(10), "a", Served)
	s.Finish(at(11), "a", Served)
	for i := range 3 {
		s.Enqueue(at(20), request(fmt.Sprint(i), 20, 0))
	}
	if sent := dispatched(t, s, 20); len(sent) != 1 {
		t.Errorf("%d requests were sent to one slot", len(sent))
	}
}

func TestLoadOfMissingHostsIsTakenFromTargetReports(t *testing.T) {
	s := newScheduler(4, 4)
	s.SetPeers(at(0), map[ident.Host]ident.DataCentre{"h2": ""})
	for i := range 10 {
		id := ident.Request(fmt.Sprint("seen", i))
		s.Enqueue(at(i), request(string(id), i, 0))
		for _, target := range dispatched(t, s, i) {
			load := 1
			if target == "t0" {
				load = 4
			}
			s.ReportLoad(at(i), id, load)
		}
		s.Finish(at(i), id, Served)
	}
	s.Enqueue(at(2000), request("a", 2000, 0))
	if sent := dispatched(t, s, 2000); sent["a"] != "t1" {
		t.Errorf("sent %v, though t0 reports the load of a host whose state is missing", sent)
	}
	s.Finish(at(2000), "a", Served)
	s.ApplyPeerState(at(2001), "b", State{})
	s.Decide(at(2002))
	if s.targets["t0"].freeSlots(at(2002)) != 4 {
		t.Error("reported load still counts after the state of the other host arrived")
	}
}

// TestYieldTimeRestartsWhenOtherHostsTakeSlots guards against a yield time that runs on
// from slot to slot: another host, whose requests come first, takes each slot some
// milliseconds after it became free.
func TestYieldTimeRestartsWhenOtherHostsTakeSlots(t *testing.T) {
	s := newScheduler(1)
	first := []Backlog{{Pool: "p", Rank: Rank{Route: -1}, Count: 1, Laxity: time.Minute}}
	taken := []TargetLoad{{Target: "t0", Running: 1}}
	s.ApplyPeerState(at(0), "b", State{Backlogs: first})
	s.Enqueue(at(0), request("a", 0, 0))
	for i := range 10 {
		free := 50 * i
		s.ApplyPeerState(at(free), "b", State{Backlogs: first})
		for _, ms := range []int{free, free + 5, free + 10} {
			if sent := dispatched(t, s, ms); len(sent) > 0 {
				t.Fatalf("at %d ms: took a slot that had just become free for a request of another host", ms)
			}
		}
		s.ApplyPeerState(at(free+12), "b", State{Backlogs: first, Loads: taken})
		s.Decide(at(free + 20))
		if s.Queued() != 1 {
			t.Fatalf("at %d ms: the request is no longer queued", free)
		}
	}
}
