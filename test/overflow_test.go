package test

import (
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

// overflowSpec describes one data centre with little capacity and two with spare
// capacity.
func overflowSpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = append(append(hosts("west", 2), hosts("east", 1)...), hosts("south", 1)...)
	spec.Pools = []settings.Pool{{Name: model, Kind: settings.EnginePool, Model: model, MaxQueue: 4}}
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec("west-e1", model, "west", 2, "--decode-gap=10ms"),
		testbed.EngineSpec("east-e1", model, "east", 12, "--decode-gap=5ms"),
		testbed.EngineSpec("south-e1", model, "south", 12, "--decode-gap=5ms"),
	}
	return spec
}

func TestOverflowIsForwardedOnlyOnce(t *testing.T) {
	cluster := startCluster(t, overflowSpec())
	generator := startLoad(t, cluster, 16, func(_ int, c *chatclient.Call) { c.MaxTokens = 30 })
	for _, h := range cluster.Hosts {
		generator.setExcluded(h.ID(), h.Settings.DataCentre != "west")
	}
	waitUntil(t, "200 successful calls", func() bool { return generator.countSucceeded() >= 200 })
	generator.stopAndWait()
	events := readEvents(t, cluster)
	forwards := make(map[ident.Request]map[string]int)
	for _, e := range events {
		if e.Kind != timeline.Forwarded {
			continue
		}
		if forwards[e.Request] == nil {
			forwards[e.Request] = make(map[string]int)
		}
		forwards[e.Request][e.Detail]++
		if forwards[e.Request][e.Detail] > 1 || e.Detail == "to west" {
			t.Errorf("request %s was forwarded %s more than once, or back to west", e.Request, e.Detail)
		}
	}
	if len(forwards) == 0 {
		t.Error("no request was forwarded, so the checks on forwarding had nothing to check")
	}
	t.Logf("%d of %d calls succeeded, %d were forwarded, %d were shed after the first forward",
		generator.countSucceeded(), len(generator.results), len(forwards), countShedAfterForward(events))
	if countReceived(t, cluster, "east-e1")+countReceived(t, cluster, "south-e1") < len(forwards)/2 {
		t.Error("fewer than half of the forwarded requests ran in other data centres")
	}
	checkNoDuplicateDispatch(t, cluster, "west-e1", "east-e1", "south-e1")
}

func countReceived(t *testing.T, cluster *testbed.Cluster, name ident.Target) int {
	t.Helper()
	record, err := cluster.Targets[name].EngineRecord()
	if err != nil {
		t.Fatal(err)
	}
	return len(record.Runs)
}

// countShedAfterForward counts the requests that were shed after the first
// forward.
func countShedAfterForward(events []timeline.Event) int {
	forwarded := false
	shed := 0
	for _, e := range events {
		switch {
		case e.Kind == timeline.Forwarded:
			forwarded = true
		case forwarded && e.Kind == timeline.Refused && e.Detail == string(outcome.Shed):
			shed++
		}
	}
	return shed
}
