package test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/internal/standin/service"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

var dispatchEngines = []ident.Target{"west-e1", "west-e2"}

func dispatchSpec() testbed.Spec {
	spec := baseSpec()
	spec.Proxied = true
	spec.Hosts = hosts("west", 3)
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec("west-e1", model, "west", 6, "--decode-gap=5ms"),
		testbed.EngineSpec("west-e2", model, "west", 6, "--decode-gap=5ms"),
		testbed.ServiceSpec("west-s1", servicePool, "west", 8),
	}
	return spec
}

// setEngineFaults replaces the injected faults of both engines.
func setEngineFaults(t *testing.T, cluster *testbed.Cluster, f engine.Faults) {
	t.Helper()
	for _, name := range dispatchEngines {
		if err := cluster.Targets[name].SetEngineFaults(f); err != nil {
			t.Fatal(err)
		}
	}
}

// callIdempotentService makes an idempotent call without a body, which the
// transport of net/http would resend by itself.
func callIdempotentService(t *testing.T, host *testbed.Host) {
	t.Helper()
	ctx := testContext(t)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, host.CallerURL()+"/services/"+string(servicePool)+"/check", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerToken)
	request.Header.Set("Idempotency-Key", "a key on a call that may be repeated")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// checkNoDuplicateServiceCall checks that the service received at least one
// dispatch and none more than once.
func checkNoDuplicateServiceCall(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	record, err := cluster.Targets["west-s1"].ServiceRecord()
	if err != nil {
		t.Fatal(err)
	}
	if len(record.Calls) == 0 {
		t.Error("the service received no calls, so duplicates could not be detected")
	}
	for id, count := range record.ReceivedCounts() {
		if count > 1 {
			t.Errorf("dispatch %s was received %d times", id, count)
		}
	}
}

func TestClosedReusedConnectionsCauseNoResend(t *testing.T) {
	cluster := startCluster(t, dispatchSpec())
	generator := startLoad(t, cluster, 20, nil)
	generator.waitForCalls(t, 60)
	setEngineFaults(t, cluster, engine.Faults{RequestFaults: engine.RequestFaults{CloseReused: true}})
	err := cluster.Targets["west-s1"].SetServiceFaults(service.Faults{CallFaults: service.CallFaults{CloseReused: true}})
	if err != nil {
		t.Fatal(err)
	}
	for n := range 60 {
		callIdempotentService(t, cluster.Hosts[n%len(cluster.Hosts)])
	}
	generator.waitForCalls(t, 100)
	setEngineFaults(t, cluster, engine.Faults{})
	generator.waitForCalls(t, 30)
	generator.stopAndWait()
	checkNoDuplicateDispatch(t, cluster, dispatchEngines...)
	checkNoDuplicateServiceCall(t, cluster)
}

func TestResetAndRefusedTargetConnectionsCauseNoDuplicate(t *testing.T) {
	cluster := startCluster(t, dispatchSpec())
	generator := startLoad(t, cluster, 20, nil)
	generator.waitForCalls(t, 30)
	for range 5 {
		for _, name := range dispatchEngines {
			if err := cluster.ResetTarget("", name); err != nil {
				t.Fatal(err)
			}
		}
		generator.waitForCalls(t, 30)
	}
	if err := cluster.SetTargetFaults("", "west-e1", faultproxy.Faults{Refuse: true}); err != nil {
		t.Fatal(err)
	}
	generator.waitForCalls(t, 60)
	if err := cluster.SetTargetFaults("", "west-e1", faultproxy.Faults{}); err != nil {
		t.Fatal(err)
	}
	generator.waitForCalls(t, 60)
	generator.stopAndWait()
	checkNoDuplicateDispatch(t, cluster, dispatchEngines...)
	succeeded := 0
	for _, r := range generator.results {
		if r.succeeded() {
			succeeded++
		}
	}
	t.Logf("%d of %d calls succeeded", succeeded, len(generator.results))
}

// No request may be dispatched twice while the platform is slow and, in turn, the
// pool has two owners because of a partition, its owner is suspended and resumed,
// and an entry is killed.
func TestOwnerFailuresAndDualOwnersCauseNoDuplicate(t *testing.T) {
	cluster := startCluster(t, dispatchSpec())
	generator := startLoad(t, cluster, 24, nil)
	generator.waitForCalls(t, 60)
	if err := cluster.Platform.SetFaults(standinplatform.Faults{DelayMs: 500}); err != nil {
		t.Fatal(err)
	}
	owner := ownerOf(cluster, "west", model)
	var others []*testbed.Host
	for _, h := range cluster.Hosts {
		if h != owner {
			others = append(others, h)
		}
	}
	for _, h := range others {
		if err := cluster.SetPeerFaults(owner.ID(), h.ID(), faultproxy.Faults{Cut: true}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(3 * testTiming.DeadAfter.Std())
	generator.waitForCalls(t, 100)
	for _, h := range others {
		if err := cluster.SetPeerFaults(owner.ID(), h.ID(), faultproxy.Faults{}); err != nil {
			t.Fatal(err)
		}
	}
	generator.waitForCalls(t, 100)
	if err := owner.Suspend(); err != nil {
		t.Fatal(err)
	}
	generator.setExcluded(owner.ID(), true)
	time.Sleep(3 * testTiming.DeadAfter.Std())
	generator.waitForCalls(t, 60)
	if err := owner.Resume(); err != nil {
		t.Fatal(err)
	}
	generator.setExcluded(owner.ID(), false)
	generator.waitForCalls(t, 100)
	if err := others[0].Kill(); err != nil {
		t.Fatal(err)
	}
	generator.setExcluded(others[0].ID(), true)
	generator.waitForCalls(t, 100)
	generator.stopAndWait()
	checkNoDuplicateDispatch(t, cluster, dispatchEngines...)
}
