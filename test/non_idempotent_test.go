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

var filingServices = []ident.Target{"west-s1", "east-s1"}

func filingSpec() testbed.Spec {
	spec := baseSpec()
	spec.Proxied = true
	spec.Hosts = append(hosts("west", 3), hosts("east", 2)...)
	spec.Targets = []testbed.TargetSpec{
		testbed.ServiceSpec("west-s1", desk, "west", 8),
		testbed.ServiceSpec("east-s1", desk, "east", 8),
	}
	return spec
}

func boundContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	t.Cleanup(cancel)
	return ctx
}

// fileEverywhere sends the same call through every host at the same moment.
func fileEverywhere(ctx context.Context, cluster *testbed.Cluster, key string) []filed {
	var sending sync.WaitGroup
	results := make([]filed, len(cluster.Hosts))
	for i, host := range cluster.Hosts {
		sending.Go(func() { results[i] = file(ctx, host, key, "") })
	}
	sending.Wait()
	return results
}

func checkFiledOnce(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	for key, count := range filings(t, cluster, filingServices...) {
		if count > 1 {
			t.Errorf("%q ran %d times", key, count)
		}
	}
}

func TestSameKeyThroughAllEntriesAtOnce(t *testing.T) {
	const keys = 30
	cluster := startCluster(t, filingSpec())
	ctx := boundContext(t)
	for n := range keys {
		key := fmt.Sprintf("filing %d", n)
		for _, r := range fileEverywhere(ctx, cluster, key) {
			held := r.status == http.StatusConflict && r.reason == outcome.ClaimHeld
			if r.err != nil || r.status != http.StatusOK && !held {
				t.Errorf("%q: %+v", key, r)
			}
		}
		until(t, "a resend gets the kept answer", func() bool {
			r := file(ctx, cluster.Hosts[n%len(cluster.Hosts)], key, "")
			return r.status == http.StatusOK && r.replayed
		})
	}
	counts := filings(t, cluster, filingServices...)
	if len(counts) != keys {
		t.Errorf("%d of %d keys ran", len(counts), keys)
	}
	checkFiledOnce(t, cluster)
}

func TestSameKeyWithAnotherBodyIsAnError(t *testing.T) {
	cluster := startCluster(t, filingSpec())
	ctx := boundContext(t)
	if r := file(ctx, cluster.Hosts[0], "one", "january"); r.status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	r := file(ctx, cluster.Hosts[3], "one", "february")
	if r.status != http.StatusUnprocessableEntity || r.reason != outcome.KeyConflict || r.outcome != outcome.NotRun {
		t.Errorf("%+v", r)
	}
	checkFiledOnce(t, cluster)
}

func TestLostConfirmationsOfClaims(t *testing.T) {
	const keys = 20
	cluster := startCluster(t, filingSpec())
	ctx := boundContext(t)
	if err := cluster.Platform.SetFaults(standinplatform.Faults{LostConfirmations: -1}); err != nil {
		t.Fatal(err)
	}
	for n := range keys {
		fileEverywhere(ctx, cluster, fmt.Sprintf("filing %d", n))
	}
	if err := cluster.Platform.SetFaults(standinplatform.Faults{}); err != nil {
		t.Fatal(err)
	}
	if len(filings(t, cluster, filingServices...)) == 0 {
		t.Error("nothing ran, so the check says nothing")
	}
	checkFiledOnce(t, cluster)
}

// In an outage non-idempotent calls are refused at once as not run, all others
// are served, and the same key runs when the platform is back.
func TestOutageRefusesOnlyNonIdempotentCalls(t *testing.T) {
	cluster := startCluster(t, filingSpec())
	ctx := boundContext(t)
	if err := cluster.Platform.SetFaults(standinplatform.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	for _, host := range cluster.Hosts {
		r := file(ctx, host, "in the outage", "")
		if r.outcome != outcome.NotRun || r.reason != outcome.ClaimUnavailable {
			t.Errorf("%s: %+v", host.HostName(), r)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, host.CallerURL()+"/services/"+string(desk)+"/check", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("%s: an idempotent call got status %d", host.HostName(), response.StatusCode)
		}
	}
	if n := len(filings(t, cluster, filingServices...)); n != 0 {
		t.Errorf("%d calls ran that were told not to have run", n)
	}
	if err := cluster.Platform.SetFaults(standinplatform.Faults{}); err != nil {
		t.Fatal(err)
	}
	until(t, "the same key runs after the outage", func() bool {
		return file(ctx, cluster.Hosts[1], "in the outage", "").status == http.StatusOK
	})
	checkFiledOnce(t, cluster)
}

func TestEntryDiesWithAClaim(t *testing.T) {
	cluster := startCluster(t, filingSpec())
	ctx := boundContext(t)
	slow := service.Faults{DelayMs: 3000}
	for _, name := range filingServices {
		if err := cluster.Targets[name].SetServiceFaults(slow); err != nil {
			t.Fatal(err)
		}
	}
	dying := cluster.Hosts[0]
	var sending sync.WaitGroup
	sending.Go(func() { file(ctx, dying, "orphan", "") })
	until(t, "the call has reached the service", func() bool {
		return filings(t, cluster, filingServices...)["orphan"] == 1
	})
	if err := dying.Kill(); err != nil {
		t.Fatal(err)
	}
	sending.Wait()
	until(t, "the resend is told that the result is unknown", func() bool {
		r := file(ctx, cluster.Hosts[1], "orphan", "")
		return r.status == http.StatusConflict && r.reason == outcome.ClaimUnknown && r.outcome == outcome.Unknown
	})
	checkFiledOnce(t, cluster)
}

// A host that is frozen with a claim and wakes long after others took it for
// dead still runs the call at most once, whatever resends came meanwhile.
func TestFrozenClaimerWakes(t *testing.T) {
	cluster := startCluster(t, filingSpec())
	ctx := boundContext(t)
	frozen := cluster.Hosts[0]
	if err := cluster.Platform.SetFaults(standinplatform.Faults{DelayMs: 300}); err != nil {
		t.Fatal(err)
	}
	var sending sync.WaitGroup
	for n := range 8 {
		key := fmt.Sprintf("frozen %d", n)
		sending.Go(func() { file(ctx, frozen, key, "") })
		time.Sleep(80 * time.Millisecond)
	}
	if err := frozen.Suspend(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * timing.DeadAfter.Std())
	if err := cluster.Platform.SetFaults(standinplatform.Faults{}); err != nil {
		t.Fatal(err)
	}
	for n := range 8 {
		file(ctx, cluster.Hosts[1], fmt.Sprintf("frozen %d", n), "")
	}
	if err := frozen.Resume(); err != nil {
		t.Fatal(err)
	}
	sending.Wait()
	for n := range 8 {
		file(ctx, cluster.Hosts[2], fmt.Sprintf("frozen %d", n), "")
	}
	if len(filings(t, cluster, filingServices...)) == 0 {
		t.Error("nothing ran, so the check says nothing")
	}
	checkFiledOnce(t, cluster)
}

func TestCallerThatGoesAwayFindsItsAnswer(t *testing.T) {
	cluster := startCluster(t, filingSpec())
	ctx := boundContext(t)
	for _, name := range filingServices {
		if err := cluster.Targets[name].SetServiceFaults(service.Faults{DelayMs: 1000}); err != nil {
			t.Fatal(err)
		}
	}
	leaving, leave := context.WithCancel(ctx)
	var sending sync.WaitGroup
	sending.Go(func() { file(leaving, cluster.Hosts[0], "left behind", "") })
	until(t, "the call has reached the service", func() bool {
		return filings(t, cluster, filingServices...)["left behind"] == 1
	})
	leave()
	sending.Wait()
	until(t, "the resend gets the kept answer", func() bool {
		r := file(ctx, cluster.Hosts[4], "left behind", "")
		return r.status == http.StatusOK && r.replayed
	})
	checkFiledOnce(t, cluster)
}
