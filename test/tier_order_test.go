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

// orderSpec describes one pool whose queue is short, so that an overload sheds.
func orderSpec() testbed.Spec {
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

// overload starts standard calls that fill the pool and then urgent calls that
// alone exceed it.
func overload(t *testing.T, cluster *testbed.Cluster) (low, high *load) {
	t.Helper()
	low = startLoad(t, cluster, 12, func(_ int, c *chatclient.Call) { c.Tier, c.MaxTokens = standard, 60 })
	low.waitFor(t, 12)
	high = startLoad(t, cluster, 36, func(n int, c *chatclient.Call) { c.Tier, c.MaxTokens = urgent, 30+n%30 })
	return low, high
}

// sheds counts the calls of a load that were refused for want of capacity.
func (l *load) sheds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, r := range l.results {
		if r.answer.Reason == outcome.Shed {
			count++
		}
	}
	return count
}

// serving is a span in which a request of the standard tier was in service.
type serving struct {
	request ident.Request
	from    timeline.Timestamp
	to      timeline.Timestamp
}

// standardServed returns the spans in which standard requests were in service:
// from their dispatch to their end, or to the order to stop them.
func standardServed(events []timeline.Event) []serving {
	open := make(map[ident.Request]*serving)
	var all []*serving
	for _, e := range events {
		s := open[e.Request]
		switch {
		case e.Kind == timeline.Dispatched && e.Tier == standard:
			s = &serving{request: e.Request, from: e.Time}
			open[e.Request] = s
			all = append(all, s)
		case s != nil && (e.Kind == timeline.Finished || e.Kind == timeline.PreemptOrdered):
			s.to = e.Time
			delete(open, e.Request)
		}
	}
	var closed []serving
	for _, s := range all {
		if s.to != (timeline.Timestamp{}) {
			closed = append(closed, *s)
		}
	}
	return closed
}

// checkTierOrder checks that no owner shed an urgent request while a standard
// one was in service, and returns how many urgent ones were shed.
func checkTierOrder(t *testing.T, events []timeline.Event) int {
	t.Helper()
	served := standardServed(events)
	sheds := 0
	for _, e := range events {
		if e.Kind != timeline.Refused || e.Tier != urgent || e.Detail != string(outcome.Shed) {
			continue
		}
		sheds++
		for _, s := range served {
			if s.from.Before(e.Time) && e.Time.Before(s.to) {
				t.Errorf("%s shed the urgent request %s while the standard request %s was in service",
					e.Host, e.Request, s.request)
			}
		}
	}
	t.Logf("%d urgent sheds against %d spans of standard service", sheds, len(served))
	return sheds
}

// readEvents reads the time line of the running hosts.
func readEvents(t *testing.T, cluster *testbed.Cluster) []timeline.Event {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
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
	cluster := startCluster(t, orderSpec())
	low, high := overload(t, cluster)
	until(t, "urgent sheds", func() bool { return high.sheds() > 30 })
	low.finish()
	high.finish()
	if checkTierOrder(t, readEvents(t, cluster)) == 0 {
		t.Error("no urgent request was shed, so the check says nothing")
	}
	checkRunOnce(t, cluster, "west-e1", "west-e2")
}

func TestTierOrderHoldsWhenTheOwnerIsKilled(t *testing.T) {
	cluster := startCluster(t, orderSpec())
	low, high := overload(t, cluster)
	until(t, "urgent sheds", func() bool { return high.sheds() > 10 })
	owner := ownerOf(cluster, "west", model)
	if err := owner.Kill(); err != nil {
		t.Fatal(err)
	}
	low.takeOut(owner.HostName(), true)
	high.takeOut(owner.HostName(), true)
	before := high.sheds()
	until(t, "urgent sheds by the next owner", func() bool { return high.sheds() > before+30 })
	low.finish()
	high.finish()
	if checkTierOrder(t, readEvents(t, cluster)) == 0 {
		t.Error("no urgent request was shed, so the check says nothing")
	}
	checkRunOnce(t, cluster, "west-e1", "west-e2")
}

// While the owner is cut off there are two owners. The promise is then made for
// the requests of each side: the side that lost its owner sheds nothing before
// its new owner knows the requests of all entries that it reaches. Requests that
// run through entries on the other side are not its to stop.
func TestTierOrderHoldsOnEachSideOfACut(t *testing.T) {
	cluster := startCluster(t, orderSpec())
	low, high := overload(t, cluster)
	until(t, "urgent sheds", func() bool { return high.sheds() > 10 })
	owner := ownerOf(cluster, "west", model)
	for _, h := range cluster.Hosts {
		if h == owner {
			continue
		}
		if err := cluster.SetPeerFaults(owner.HostName(), h.HostName(), faultproxy.Faults{Cut: true}); err != nil {
			t.Fatal(err)
		}
	}
	before := high.sheds()
	time.Sleep(3 * timing.DeadAfter.Std())
	until(t, "urgent sheds during the cut", func() bool { return high.sheds() > before+30 })
	low.finish()
	high.finish()
	events := readEvents(t, cluster)
	var cutOff, others []timeline.Event
	for _, e := range events {
		if e.Host == owner.HostName() {
			cutOff = append(cutOff, e)
		} else {
			others = append(others, e)
		}
	}
	if checkTierOrder(t, cutOff)+checkTierOrder(t, others) == 0 {
		t.Error("no urgent request was shed, so the check says nothing")
	}
	checkRunOnce(t, cluster, "west-e1", "west-e2")
}
