package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/internal/standin/service"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/outcome"
)

var keyedServices = []ident.Target{"west-s1", "east-s1"}

func nonIdempotentSpec() testbed.Spec {
	spec := baseSpec()
	spec.Proxied = true
	spec.Hosts = append(hosts("west", 3), hosts("east", 2)...)
	spec.Targets = []testbed.TargetSpec{
		testbed.ServiceSpec("west-s1", servicePool, "west", 8),
		testbed.ServiceSpec("east-s1", servicePool, "east", 8),
	}
	return spec
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// callThroughAllHosts makes the same call through every host concurrently.
func callThroughAllHosts(ctx context.Context, cluster *testbed.Cluster, key string) []nonIdempotentResult {
	var calls sync.WaitGroup
	results := make([]nonIdempotentResult, len(cluster.Hosts))
	for i, host := range cluster.Hosts {
		calls.Go(func() { results[i] = callNonIdempotent(ctx, host, key, "") })
	}
	calls.Wait()
	return results
}

func checkNoDuplicateKeys(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	for key, count := range countReceivedKeys(t, cluster, keyedServices...) {
		if count > 1 {
			t.Errorf("the call with key %q ran %d times", key, count)
		}
	}
}

func TestSameKeyThroughAllEntriesConcurrently(t *testing.T) {
	const keys = 30
	cluster := startCluster(t, nonIdempotentSpec())
	ctx := testContext(t)
	for n := range keys {
		key := fmt.Sprintf("filing %d", n)
		for _, r := range callThroughAllHosts(ctx, cluster, key) {
			claimHeld := r.status == http.StatusConflict && r.reason == outcome.ClaimHeld
			if r.err != nil || r.status != http.StatusOK && !claimHeld {
				t.Errorf("key %q: got neither a response nor claim-held: %+v", key, r)
			}
		}
		waitUntil(t, "a retry gets the stored response", func() bool {
			r := callNonIdempotent(ctx, cluster.Hosts[n%len(cluster.Hosts)], key, "")
			return r.status == http.StatusOK && r.replayed
		})
	}
	counts := countReceivedKeys(t, cluster, keyedServices...)
	if len(counts) != keys {
		t.Errorf("calls with %d of %d keys ran", len(counts), keys)
	}
	checkNoDuplicateKeys(t, cluster)
}

func TestSameKeyWithDifferentBodyIsRejected(t *testing.T) {
	cluster := startCluster(t, nonIdempotentSpec())
	ctx := testContext(t)
	if r := callNonIdempotent(ctx, cluster.Hosts[0], "one", "january"); r.status != http.StatusOK {
		t.Fatalf("the first call with the key failed: %+v", r)
	}
	r := callNonIdempotent(ctx, cluster.Hosts[3], "one", "february")
	if r.status != http.StatusUnprocessableEntity || r.reason != outcome.KeyConflict || r.outcome != outcome.NotRun {
		t.Errorf("the second call with the key got %+v, want key-conflict and not-run", r)
	}
	checkNoDuplicateKeys(t, cluster)
}

func TestLostClaimConfirmations(t *testing.T) {
	const keys = 20
	cluster := startCluster(t, nonIdempotentSpec())
	ctx := testContext(t)
	if err := cluster.Platform.SetFaults(standinplatform.Faults{LostConfirmations: -1}); err != nil {
		t.Fatal(err)
	}
	for n := range keys {
		callThroughAllHosts(ctx, cluster, fmt.Sprintf("filing %d", n))
	}
	if err := cluster.Platform.SetFaults(standinplatform.Faults{}); err != nil {
		t.Fatal(err)
	}
	if len(countReceivedKeys(t, cluster, keyedServices...)) == 0 {
		t.Error("no call ran, so duplicates could not be detected")
	}
	checkNoDuplicateKeys(t, cluster)
}

// During a platform outage, non-idempotent calls are refused at once as not-run
// and all other calls are served. After the outage a call with the same key runs.
func TestOutageRefusesOnlyNonIdempotentCalls(t *testing.T) {
	cluster := startCluster(t, nonIdempotentSpec())
	ctx := testContext(t)
	if err := cluster.Platform.SetFaults(standinplatform.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	for _, host := range cluster.Hosts {
		r := callNonIdempotent(ctx, host, "in the outage", "")
		if r.outcome != outcome.NotRun || r.reason != outcome.ClaimUnavailable {
			t.Errorf("%s: non-idempotent call got %+v, want claim-unavailable and not-run", host.ID(), r)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, host.CallerURL()+"/services/"+string(servicePool)+"/check", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+callerToken)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("%s: idempotent call failed with status %d", host.ID(), response.StatusCode)
		}
	}
	if n := len(countReceivedKeys(t, cluster, keyedServices...)); n != 0 {
		t.Errorf("%d calls ran although their callers got not-run", n)
	}
	if err := cluster.Platform.SetFaults(standinplatform.Faults{}); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a successful call with the same key after the outage", func() bool {
		return callNonIdempotent(ctx, cluster.Hosts[1], "in the outage", "").status == http.StatusOK
	})
	checkNoDuplicateKeys(t, cluster)
}

func TestEntryCrashesHoldingClaim(t *testing.T) {
	cluster := startCluster(t, nonIdempotentSpec())
	ctx := testContext(t)
	slow := service.Faults{DelayMs: 3000}
	for _, name := range keyedServices {
		if err := cluster.Targets[name].SetServiceFaults(slow); err != nil {
			t.Fatal(err)
		}
	}
	crashing := cluster.Hosts[0]
	var calls sync.WaitGroup
	calls.Go(func() { callNonIdempotent(ctx, crashing, "orphan", "") })
	waitUntil(t, "the call to reach the service", func() bool {
		return countReceivedKeys(t, cluster, keyedServices...)["orphan"] == 1
	})
	if err := crashing.Kill(); err != nil {
		t.Fatal(err)
	}
	calls.Wait()
	waitUntil(t, "a retry to get outcome unknown", func() bool {
		r := callNonIdempotent(ctx, cluster.Hosts[1], "orphan", "")
		return r.status == http.StatusConflict && r.reason == outcome.ClaimUnknown && r.outcome == outcome.Unknown
	})
	checkNoDuplicateKeys(t, cluster)
}

// A host is suspended while it holds claims and resumed long after its peers
// declared it dead. Each call must still run at most once, although callers retry
// through other hosts in the meantime.
func TestFrozenClaimerWakes(t *testing.T) {
	cluster := startCluster(t, nonIdempotentSpec())
	ctx := testContext(t)
	suspended := cluster.Hosts[0]
	if err := cluster.Platform.SetFaults(standinplatform.Faults{DelayMs: 300}); err != nil {
		t.Fatal(err)
	}
	var calls sync.WaitGroup
	for n := range 8 {
		key := fmt.Sprintf("suspended %d", n)
		calls.Go(func() { callNonIdempotent(ctx, suspended, key, "") })
		time.Sleep(80 * time.Millisecond)
	}
	if err := suspended.Suspend(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * testTiming.DeadAfter.Std())
	if err := cluster.Platform.SetFaults(standinplatform.Faults{}); err != nil {
		t.Fatal(err)
	}
	for n := range 8 {
		callNonIdempotent(ctx, cluster.Hosts[1], fmt.Sprintf("suspended %d", n), "")
	}
	if err := suspended.Resume(); err != nil {
		t.Fatal(err)
	}
	calls.Wait()
	for n := range 8 {
		callNonIdempotent(ctx, cluster.Hosts[2], fmt.Sprintf("suspended %d", n), "")
	}
	if len(countReceivedKeys(t, cluster, keyedServices...)) == 0 {
		t.Error("no call ran, so duplicates could not be detected")
	}
	checkNoDuplicateKeys(t, cluster)
}

func TestDisconnectedCallerCanFetchStoredResponse(t *testing.T) {
	cluster := startCluster(t, nonIdempotentSpec())
	ctx := testContext(t)
	for _, name := range keyedServices {
		if err := cluster.Targets[name].SetServiceFaults(service.Faults{DelayMs: 1000}); err != nil {
			t.Fatal(err)
		}
	}
	callerContext, disconnect := context.WithCancel(ctx)
	var calls sync.WaitGroup
	calls.Go(func() { callNonIdempotent(callerContext, cluster.Hosts[0], "left behind", "") })
	waitUntil(t, "the call to reach the service", func() bool {
		return countReceivedKeys(t, cluster, keyedServices...)["left behind"] == 1
	})
	disconnect()
	calls.Wait()
	waitUntil(t, "a retry to get the stored response", func() bool {
		r := callNonIdempotent(ctx, cluster.Hosts[4], "left behind", "")
		return r.status == http.StatusOK && r.replayed
	})
	checkNoDuplicateKeys(t, cluster)
}
