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

// leavingLimit is how long a leaving target may still get new work, by the
// promise; the list's lag comes on top.
const (
	leavingLimit = 3 * time.Second
	hostListLag  = time.Second
	leavingName  = ident.Target("west-e1")
)

func leavingSpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = hosts("west", 3)
	spec.Proxied = true
	spec.PlatformFlags = []string{"--host-lag=" + hostListLag.String()}
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec(leavingName, model, "west", 8, "--decode-gap=10ms"),
		testbed.EngineSpec("west-e2", model, "west", 8, "--decode-gap=10ms"),
	}
	return spec
}

// listAsLeaving marks the target in the platform's host list.
func listAsLeaving(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	entries := cluster.HostEntries()
	for i := range entries {
		if entries[i].Name == string(leavingName) {
			entries[i].State = storage.HostLeaving
		}
	}
	if err := cluster.Platform.SetHosts(entries); err != nil {
		t.Fatal(err)
	}
}

// declareLeaving marks the target in the settings.
func declareLeaving(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	declared := cluster.Targets[leavingName].Declared
	declared.Leaving = true
	body, err := json.Marshal(declared)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	store := settings.NewStore(settings.StoreOptions{Table: cluster.PlatformClient})
	_, err = store.Apply(ctx, settings.Change{
		Author:    "test",
		Reason:    "the target leaves",
		Puts:      []settings.Document{{Path: "targets/" + string(leavingName) + ".json", Body: string(body)}},
		Principal: settings.OperatorPrincipal(),
	})
	if err != nil {
		t.Fatal(err)
	}
}

// refuseAsLeaving makes the target say so itself.
func refuseAsLeaving(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	if err := cluster.Targets[leavingName].SetEngineFaults(engine.Faults{Leaving: true}); err != nil {
		t.Fatal(err)
	}
}

// receivedAfter counts what the leaving target took after a moment.
func receivedAfter(t *testing.T, cluster *testbed.Cluster, moment time.Time) int {
	t.Helper()
	record, err := cluster.Targets[leavingName].EngineRecord()
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, run := range record.Runs {
		if run.Received.After(moment) {
			count++
		}
	}
	return count
}

// checkNoneAfter checks that the leaving target took nothing after the limit.
func checkNoneAfter(t *testing.T, cluster *testbed.Cluster, limit time.Time) {
	t.Helper()
	if n := receivedAfter(t, cluster, limit); n > 0 {
		t.Errorf("the leaving target took %d requests after the limit", n)
	}
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		leave func(*testing.T, *testbed.Cluster)
	}{
		{"listed as leaving", listAsLeaving},
		{"marked in the settings", declareLeaving},
		{"refuses new work itself", refuseAsLeaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cluster := startCluster(t, leavingSpec())
			l := startLoad(t, cluster, 20, nil)
			until(t, "work on the leaving target", func() bool {
				return receivedAfter(t, cluster, time.Time{}) > 10
			})
			test.leave(t, cluster)
			limit := time.Now().Add(hostListLag + leavingLimit)
			time.Sleep(time.Until(limit))
			l.waitFor(t, 60)
			checkNoneAfter(t, cluster, limit)
			checkAllWhole(t, l)
			checkRunOnce(t, cluster, leavingName, "west-e2")
		})
	}
}

// A host that was frozen, or cut off from everyone, when the target left must
// not send it work when it is back.
func TestWokenHostSendsNothingToALeavingTarget(t *testing.T) {
	cluster := startCluster(t, leavingSpec())
	l := startLoad(t, cluster, 20, func(_ int, c *chatclient.Call) { c.MaxTokens = 20 })
	l.waitFor(t, 60)
	frozen := ownerOf(cluster, "west", model)
	if err := frozen.Suspend(); err != nil {
		t.Fatal(err)
	}
	l.takeOut(frozen.HostName(), true)
	listAsLeaving(t, cluster)
	limit := time.Now().Add(hostListLag + leavingLimit)
	time.Sleep(time.Until(limit))
	l.waitFor(t, 60)
	if err := frozen.Resume(); err != nil {
		t.Fatal(err)
	}
	l.takeOut(frozen.HostName(), false)
	l.waitFor(t, 100)
	checkNoneAfter(t, cluster, limit)
	l.finish()
	checkRunOnce(t, cluster, leavingName, "west-e2")
}

func TestHostCutOffFromThePlatformLearnsOfALeavingTarget(t *testing.T) {
	cluster := startCluster(t, leavingSpec())
	l := startLoad(t, cluster, 20, nil)
	l.waitFor(t, 60)
	cut := ownerOf(cluster, "west", model)
	if err := cluster.SetPlatformFaults(cut.HostName(), faultproxy.Faults{Cut: true}); err != nil {
		t.Fatal(err)
	}
	declareLeaving(t, cluster)
	limit := time.Now().Add(hostListLag + leavingLimit)
	time.Sleep(time.Until(limit))
	l.waitFor(t, 60)
	checkNoneAfter(t, cluster, limit)
	checkAllWhole(t, l)
}

// The owner cannot read the host list, but the entries can.
func TestEntriesKnowOfALeavingTargetBeforeTheOwner(t *testing.T) {
	cluster := startCluster(t, leavingSpec())
	cut := ownerOf(cluster, "west", model)
	if err := cluster.SetPlatformFaults(cut.HostName(), faultproxy.Faults{Cut: true}); err != nil {
		t.Fatal(err)
	}
	l := startLoad(t, cluster, 20, nil)
	l.takeOut(cut.HostName(), true)
	l.waitFor(t, 60)
	listAsLeaving(t, cluster)
	limit := time.Now().Add(hostListLag + leavingLimit)
	time.Sleep(time.Until(limit))
	l.waitFor(t, 60)
	checkNoneAfter(t, cluster, limit)
	checkAllWhole(t, l)
}
