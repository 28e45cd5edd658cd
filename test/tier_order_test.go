package test

import (
	"context"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	urgent   = ident.Tier("urgent")
	standard = ident.Tier("standard")
)

// tierOrderSpec describes one pool with a short queue, so that overload leads to
// shedding.
func tierOrderSpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = hosts("west", 3)
	spec.Proxied = true
	spec.Pools = []settings.Pool{{Name: model, Kind: settings.EnginePool, Model: model, MaxQueue: 12}}
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec("west-e1", model, "west", 4, "--decode-gap=10ms"),
		testbed.EngineSpec("west-e2", model, "west", 4, "--decode-gap=10ms"),
	}
	return spec
}

// overload starts standard calls that fill the pool, then urgent calls that exceed
// its capacity by themselves.
func overload(t *testing.T, cluster *testbed.Cluster) (low, high *loadGenerator) {
	t.Helper()
	low = startLoad(t, cluster, 12, func(_ int, c *chatclient.Call) { c.Tier, c.MaxTokens = standard, 60 })
	low.waitForCalls(t, 12)
	high = startLoad(t, cluster, 36, func(n int, c *chatclient.Call) { c.Tier, c.MaxTokens = urgent, 30+n%30 })
	return low, high
}

// countShed returns how many calls were shed for lack of capacity.
func (l *loadGenerator) countShed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, r := range l.results {
		if r.response.Reason == outcome.Shed {
			count++
		}
	}
	return count
}

// serviceInterval is the time during which a request of the standard tier was in
// service.
type serviceInterval struct {
	request ident.Request
	start   timeline.Timestamp
	end     timeline.Timestamp
}

// standardServiceIntervals returns the service intervals of standard requests: from
// dispatch to the end of the request, or to the order to preempt it. Requests that
// have not ended are left out.
func standardServiceIntervals(events []timeline.Event) []serviceInterval {
	open := make(map[ident.Request]*serviceInterval)
	var started []*serviceInterval
	for _, e := range events {
		interval := open[e.Request]
		switch {
		case e.Kind == timeline.Dispatched && e.Tier == standard:
			interval = &serviceInterval{request: e.Request, start: e.Time}
			open[e.Request] = interval
			started = append(started, interval)
		case interval != nil && (e.Kind == timeline.Finished || e.Kind == timeline.PreemptOrdered):
			interval.end = e.Time
			delete(open, e.Request)
		}
	}
	var ended []serviceInterval
	for _, interval := range started {
		if interval.end != (timeline.Timestamp{}) {
			ended = append(ended, *interval)
		}
	}
	return ended
}

// checkTierOrder checks that no urgent request was shed while a standard one was
// in service, and returns how many urgent requests were shed.
func checkTierOrder(t *testing.T, events []timeline.Event) int {
	t.Helper()
	intervals := standardServiceIntervals(events)
	shed := 0
	for _, e := range events {
		if e.Kind != timeline.Refused || e.Tier != urgent || e.Detail != string(outcome.Shed) {
			continue
		}
		shed++
		for _, interval := range intervals {
			if interval.start.Before(e.Time) && e.Time.Before(interval.end) {
				t.Errorf("%s shed the urgent request %s while the standard request %s was in service",
					e.Host, e.Request, interval.request)
			}
		}
	}
	t.Logf("%d urgent requests shed, %d service intervals of standard requests", shed, len(intervals))
	return shed
}

// readEvents reads the timelines of the running hosts.
func readEvents(t *testing.T, cluster *testbed.Cluster) []timeline.Event {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var running []*testbed.Host
	for _, h := range cluster.Hosts {
		if h.Running() {
			running = append(running, h)
		}
	}
	events, err := cluster.Events(ctx, running...)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

func TestNoHigherTierIsShedWhileALowerOneIsServed(t *testing.T) {
	cluster := startCluster(t, tierOrderSpec())
	low, high := overload(t, cluster)
	waitUntil(t, "urgent requests to be shed", func() bool { return high.countShed() > 30 })
	low.stopAndWait()
	high.stopAndWait()
	if checkTierOrder(t, readEvents(t, cluster)) == 0 {
		t.Error("no urgent request was shed, so the tier order was not exercised")
	}
	checkNoDuplicateDispatch(t, cluster, "west-e1", "west-e2")
}

func TestTierOrderHoldsWhenTheOwnerIsKilled(t *testing.T) {
	cluster := startCluster(t, tierOrderSpec())
	low, high := overload(t, cluster)
	waitUntil(t, "urgent requests to be shed", func() bool { return high.countShed() > 10 })
	owner := ownerOf(cluster, "west", model)
	if err := owner.Kill(); err != nil {
		t.Fatal(err)
	}
	low.setExcluded(owner.ID(), true)
	high.setExcluded(owner.ID(), true)
	before := high.countShed()
	waitUntil(t, "urgent requests to be shed by the new owner", func() bool { return high.countShed() > before+30 })
	low.stopAndWait()
	high.stopAndWait()
	if checkTierOrder(t, readEvents(t, cluster)) == 0 {
		t.Error("no urgent request was shed, so the tier order was not exercised")
	}
	checkNoDuplicateDispatch(t, cluster, "west-e1", "west-e2")
}

// During a partition the pool has two owners, and the tier order is guaranteed only
// among the requests of each side. The side that lost its owner sheds nothing until
// its new owner knows the requests of all entries that it can reach. An owner cannot
// preempt requests that run through entries on the other side.
func TestTierOrderHoldsOnEachSideOfPartition(t *testing.T) {
	cluster := startCluster(t, tierOrderSpec())
	low, high := overload(t, cluster)
	waitUntil(t, "urgent requests to be shed", func() bool { return high.countShed() > 10 })
	owner := ownerOf(cluster, "west", model)
	for _, h := range cluster.Hosts {
		if h == owner {
			continue
		}
		if err := cluster.SetPeerFaults(owner.ID(), h.ID(), faultproxy.Faults{Cut: true}); err != nil {
			t.Fatal(err)
		}
	}
	before := high.countShed()
	time.Sleep(3 * testTiming.DeadAfter.Std())
	waitUntil(t, "urgent requests to be shed during the partition", func() bool { return high.countShed() > before+30 })
	low.stopAndWait()
	high.stopAndWait()
	events := readEvents(t, cluster)
	var isolatedEvents, otherEvents []timeline.Event
	for _, e := range events {
		if e.Host == owner.ID() {
			isolatedEvents = append(isolatedEvents, e)
		} else {
			otherEvents = append(otherEvents, e)
		}
	}
	if checkTierOrder(t, isolatedEvents)+checkTierOrder(t, otherEvents) == 0 {
		t.Error("no urgent request was shed, so the tier order was not exercised")
	}
	checkNoDuplicateDispatch(t, cluster, "west-e1", "west-e2")
}
