package test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/timeline"
)

var crashEngines = []ident.Target{"west-e1", "west-e2", "west-e3"}

func crashSpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = hosts("west", 3)
	for _, name := range crashEngines {
		spec.Targets = append(spec.Targets, testbed.EngineSpec(name, model, "west", 6, "--decode-gap=10ms"))
	}
	return spec
}

// restartCrashedEngines restarts the engines that have crashed.
func restartCrashedEngines(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	ctx := testContext(t)
	for _, name := range crashEngines {
		target := cluster.Targets[name]
		if target.Running() {
			continue
		}
		if err := target.Start(); err != nil {
			t.Fatal(err)
		}
		if err := target.WaitListening(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// A caller keeps resending a request that crashes engines, through any host. The
// request must be quarantined after its second crash. Requests that ran on the
// crashed engines at the same time, and are resent, must not be.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	cluster := startCluster(t, crashSpec())
	ctx := testContext(t)
	generator := startLoad(t, cluster, 8, nil)
	generator.waitForCalls(t, 30)
	crashingCall := chatclient.Call{Model: model, Prompt: "a prompt with " + engine.DefaultCrashMarker, MaxTokens: 20, Stream: true}
	crashes := 0
	deadline := time.Now().Add(testTimeout)
	quarantined := false
	for n := 0; !quarantined && time.Now().Before(deadline); n++ {
		response, err := cluster.Hosts[n%len(cluster.Hosts)].CallerClient(callerToken).Complete(ctx, crashingCall)
		if err != nil {
			t.Fatal(err)
		}
		switch {
		case response.Reason == outcome.Quarantined:
			quarantined = true
			if response.Outcome != outcome.NotRun || response.RetryAfter == 0 {
				t.Errorf("the quarantined request got %+v, want outcome not-run and a retry delay", response)
			}
		case response.Err != nil && response.Err.Outcome != outcome.NotRun:
			crashes++
		}
		restartCrashedEngines(t, cluster)
	}
	if !quarantined || crashes != 2 {
		t.Errorf("quarantined: %v after %d crashes, want true after 2", quarantined, crashes)
	}
	generator.waitForCalls(t, 60)
	generator.stopAndWait()
	for _, r := range generator.results {
		if r.response.Reason == outcome.Quarantined {
			t.Errorf("a request that crashed no engine was quarantined: %v", r)
		}
	}
	kinds := make(map[timeline.Kind]int)
	for _, e := range readEvents(t, cluster) {
		kinds[e.Kind]++
	}
	for _, kind := range []timeline.Kind{timeline.TargetFailed, timeline.StrikeRecorded, timeline.Quarantine} {
		if kinds[kind] == 0 {
			t.Errorf("the timeline has no %q event", kind)
		}
	}
}
