package schedule

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

func TestTargetThatChangesItsPoolIsCountedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	pools := map[ident.Pool]*route.Pool{"a": {Name: "a"}, "b": {Name: "b"}}
	snapshot := func(pool ident.Pool) *route.TargetSnapshot {
		return &route.TargetSnapshot{Targets: map[ident.Target]route.Target{"t": {Name: "t", Pool: pool, Slots: 1}}}
	}
	s := New(Options{})
	s.Configure(now, pools, snapshot("a"))
	s.Enqueue(now, testRequest("r1", "a", now))
	if n := len(s.Decide(now)); n != 1 {
		t.Fatalf("%d actions, want 1 dispatch", n)
	}
	s.Configure(now, pools, snapshot("b"))
	s.Finish(now, "r1", Served)
	s.Configure(now, pools, snapshot("b"))
	for _, load := range s.PoolLoads(now) {
		want := map[ident.Pool]int{"b": 1}[load.Pool]
		if load.Targets != want || load.Slots != want {
			t.Errorf("pool %s has %d targets with %d slots, want %d", load.Pool, load.Targets, load.Slots, want)
		}
	}
}

func testRequest(id ident.Request, pool ident.Pool, now time.Time) Request {
	return Request{
		ID: id, Pool: pool, Arrived: now, Objective: now.Add(time.Second),
		Deadline: now.Add(2 * time.Second), AbandonTime: now.Add(2 * time.Second),
	}
}
