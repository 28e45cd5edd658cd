package test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	// testTimeout limits each wait; it is far longer than any of them should take.
	testTimeout = time.Minute

	model       = "drafting"
	servicePool = ident.Pool("desk")
	callerToken = "shop-token"
	callerTeam  = ident.Team("shops")
)

// testTiming makes hosts detect failures sooner than in production.
var testTiming = config.Timing{
	Heartbeat:      settings.Duration(100 * time.Millisecond),
	SuspectAfter:   settings.Duration(500 * time.Millisecond),
	DeadAfter:      settings.Duration(time.Second),
	ReadinessDelay: settings.Duration(100 * time.Millisecond),
}

// baseSpec describes a cluster with one engine pool, one service pool, and no
// hosts or targets.
func baseSpec() testbed.Spec {
	return testbed.Spec{
		Tiers: []settings.Tier{
			{Name: "urgent", Rank: 0, DefaultDeadline: settings.Duration(testTimeout)},
			{Name: "standard", Rank: 1, DefaultDeadline: settings.Duration(testTimeout)},
		},
		Pools: []settings.Pool{
			{Name: model, Kind: settings.EnginePool, Model: model, MaxQueue: 1000},
			{Name: servicePool, Kind: settings.ServicePool, MaxQueue: 1000},
		},
		Teams:  []testbed.TeamSpec{{Name: callerTeam, Token: callerToken, DefaultTier: "standard"}},
		Timing: testTiming,
	}
}

// hosts returns n hosts in a data centre, named after the data centre.
func hosts(dc ident.DataCentre, n int) []testbed.HostSpec {
	var specs []testbed.HostSpec
	for i := range n {
		name := ident.Host(fmt.Sprintf("%s-h%d", dc, i+1))
		specs = append(specs, testbed.HostSpec{Name: name, DataCentre: dc})
	}
	return specs
}

// startCluster starts the cluster, stops it when the test ends and prints its
// logs if the test failed. A data race in any process fails the test.
func startCluster(t *testing.T, spec testbed.Spec) *testbed.Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cluster, err := testbed.Start(ctx, spec)
	t.Cleanup(func() {
		logs := cluster.Logs()
		if strings.Contains(logs, "DATA RACE") {
			t.Error("a process reported a data race; see the logs")
		}
		if t.Failed() {
			t.Log(logs)
		}
		cluster.Stop()
	})
	if err != nil {
		t.Fatal(err)
	}
	return cluster
}

// ownerOf returns the host that owns the pool in the data centre when all hosts
// are alive.
func ownerOf(cluster *testbed.Cluster, dc ident.DataCentre, pool ident.Pool) *testbed.Host {
	view := &membership.View{}
	for _, h := range cluster.Hosts {
		view.Members = append(view.Members, membership.Member{
			Host: h.ID(), DataCentre: h.Settings.DataCentre, State: membership.Alive,
		})
	}
	return cluster.Host(view.Owner(dc, pool))
}

// waitUntil polls the condition and fails the test after testTimeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkNoDuplicateDispatch checks that the engines together, including killed
// ones, received at least one dispatch and none more than once.
func checkNoDuplicateDispatch(t *testing.T, cluster *testbed.Cluster, engines ...ident.Target) {
	t.Helper()
	received := make(map[string]int)
	for _, name := range engines {
		counts, err := cluster.Targets[name].ReceivedCounts()
		if err != nil {
			t.Fatal(err)
		}
		for id, count := range counts {
			received[id] += count
		}
	}
	if len(received) == 0 {
		t.Error("the engines received no dispatch, so duplicates could not be detected")
	}
	for id, count := range received {
		if count > 1 {
			t.Errorf("dispatch %s was received %d times", id, count)
		}
	}
}
