package test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage"
)

const (
	// leavingLimit is the guaranteed time after which a leaving target gets no new
	// requests. hostListLag, the update delay of the host list, is added to it.
	leavingLimit  = 3 * time.Second
	hostListLag   = time.Second
	leavingTarget = ident.Target("west-e1")
)

func leavingSpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = hosts("west", 3)
	spec.Proxied = true
	spec.PlatformFlags = []string{"--host-lag=" + hostListLag.String()}
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec(leavingTarget, model, "west", 8, "--decode-gap=10ms"),
		testbed.EngineSpec("west-e2", model, "west", 8, "--decode-gap=10ms"),
	}
	return spec
}

// markLeavingInHostList marks the target as leaving in the platform's host list.
func markLeavingInHostList(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	entries := cluster.HostEntries()
	for i := range entries {
		if entries[i].Name == string(leavingTarget) {
			entries[i].State = storage.HostLeaving
		}
	}
	if err := cluster.Platform.SetHosts(entries); err != nil {
		t.Fatal(err)
	}
}

// markLeavingInSettings marks the target as leaving in the settings.
func markLeavingInSettings(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	declared := cluster.Targets[leavingTarget].Declared
	declared.Leaving = true
	body, err := json.Marshal(declared)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	store := settings.NewStore(settings.StoreOptions{Table: cluster.PlatformClient})
	_, err = store.Apply(ctx, settings.Change{
		Author:    "test",
		Reason:    "the target leaves",
		Puts:      []settings.Document{{Path: "targets/" + string(leavingTarget) + ".json", Body: string(body)}},
		Principal: settings.OperatorPrincipal(),
	})
	if err != nil {
		t.Fatal(err)
	}
}

// makeTargetRefuse makes the target refuse new requests because it is leaving.
func makeTargetRefuse(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	if err := cluster.Targets[leavingTarget].SetEngineFaults(engine.Faults{Leaving: true}); err != nil {
		t.Fatal(err)
	}
}

// countReceivedAfter counts the requests that the leaving target received after the
// given time.
func countReceivedAfter(t *testing.T, cluster *testbed.Cluster, since time.Time) int {
	t.Helper()
	record, err := cluster.Targets[leavingTarget].EngineRecord()
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, run := range record.Runs {
		if run.Received.After(since) {
			count++
		}
	}
	return count
}

// checkNoneReceivedAfter checks that the leaving target received no request after
// the limit.
func checkNoneReceivedAfter(t *testing.T, cluster *testbed.Cluster, limit time.Time) {
	t.Helper()
	if n := countReceivedAfter(t, cluster, limit); n > 0 {
		t.Errorf("the leaving target received %d requests after the limit", n)
	}
}

func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	tests := []struct {
		name        string
		markLeaving func(*testing.T, *testbed.Cluster)
	}{
		{"marked as leaving in the host list", markLeavingInHostList},
		{"marked as leaving in the settings", markLeavingInSettings},
		{"refuses new requests", makeTargetRefuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cluster := startCluster(t, leavingSpec())
			generator := startLoad(t, cluster, 20, nil)
			waitUntil(t, "more than 10 requests at the target", func() bool {
				return countReceivedAfter(t, cluster, time.Time{}) > 10
			})
			test.markLeaving(t, cluster)
			limit := time.Now().Add(hostListLag + leavingLimit)
			time.Sleep(time.Until(limit))
			generator.waitForCalls(t, 60)
			checkNoneReceivedAfter(t, cluster, limit)
			checkAllSucceeded(t, generator)
			checkNoDuplicateDispatch(t, cluster, leavingTarget, "west-e2")
		})
	}
}

// A host that was suspended when the target was marked as leaving must not send it
// requests after it resumes, although its own state is stale.
func TestResumedHostSendsNothingToLeavingTarget(t *testing.T) {
	cluster := startCluster(t, leavingSpec())
	generator := startLoad(t, cluster, 20, func(_ int, c *chatclient.Call) { c.MaxTokens = 20 })
	generator.waitForCalls(t, 60)
	suspended := ownerOf(cluster, "west", model)
	if err := suspended.Suspend(); err != nil {
		t.Fatal(err)
	}
	generator.setExcluded(suspended.ID(), true)
	markLeavingInHostList(t, cluster)
	limit := time.Now().Add(hostListLag + leavingLimit)
	time.Sleep(time.Until(limit))
	generator.waitForCalls(t, 60)
	if err := suspended.Resume(); err != nil {
		t.Fatal(err)
	}
	generator.setExcluded(suspended.ID(), false)
	generator.waitForCalls(t, 100)
	checkNoneReceivedAfter(t, cluster, limit)
	generator.stopAndWait()
	checkNoDuplicateDispatch(t, cluster, leavingTarget, "west-e2")
}

func TestHostWithoutPlatformLearnsOfLeavingTarget(t *testing.T) {
	cluster := startCluster(t, leavingSpec())
	generator := startLoad(t, cluster, 20, nil)
	generator.waitForCalls(t, 60)
	isolated := ownerOf(cluster, "west", model)
	if err := cluster.SetPlatformFaults(isolated.ID(), faultproxy.Faults{Cut: true}); err != nil {
		t.Fatal(err)
	}
	markLeavingInSettings(t, cluster)
	limit := time.Now().Add(hostListLag + leavingLimit)
	time.Sleep(time.Until(limit))
	generator.waitForCalls(t, 60)
	checkNoneReceivedAfter(t, cluster, limit)
	checkAllSucceeded(t, generator)
}

// The owner is partitioned from the platform and cannot read the host list; the
// entries can, and must not dispatch to the leaving target.
func TestEntriesLearnOfLeavingTargetBeforeOwner(t *testing.T) {
	cluster := startCluster(t, leavingSpec())
	isolated := ownerOf(cluster, "west", model)
	if err := cluster.SetPlatformFaults(isolated.ID(), faultproxy.Faults{Cut: true}); err != nil {
		t.Fatal(err)
	}
	generator := startLoad(t, cluster, 20, nil)
	generator.setExcluded(isolated.ID(), true)
	generator.waitForCalls(t, 60)
	markLeavingInHostList(t, cluster)
	limit := time.Now().Add(hostListLag + leavingLimit)
	time.Sleep(time.Until(limit))
	generator.waitForCalls(t, 60)
	checkNoneReceivedAfter(t, cluster, limit)
	checkAllSucceeded(t, generator)
}
