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

// restartCrashed starts the engines again that have crashed.
func restartCrashed(t *testing.T, cluster *testbed.Cluster) {
	t.Helper()
	ctx := boundContext(t)
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

// A caller sends the same crashing request again and again, through any host. It
// is quarantined after its second crash; the others that were in service beside
// it, and are sent again, are not.
func TestARequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	cluster := startCluster(t, crashSpec())
	ctx := boundContext(t)
	l := startLoad(t, cluster, 8, nil)
	l.waitFor(t, 30)
	poison := chatclient.Call{Model: model, Prompt: "a prompt with " + engine.DefaultCrashMarker, MaxTokens: 20, Stream: true}
	crashes := 0
	deadline := time.Now().Add(bound)
	quarantined := false
	for n := 0; !quarantined && time.Now().Before(deadline); n++ {
		answer, err := cluster.Hosts[n%len(cluster.Hosts)].CallerClient(token).Complete(ctx, poison)
		if err != nil {
			t.Fatal(err)
		}
		switch {
		case answer.Reason == outcome.Quarantined:
			quarantined = true
			if answer.Outcome != outcome.NotRun || answer.RetryAfter == 0 {
				t.Errorf("the quarantined request was told %+v", answer)
			}
		case answer.Err != nil && answer.Err.Outcome != outcome.NotRun:
			crashes++
		}
		restartCrashed(t, cluster)
	}
	if !quarantined || crashes != 2 {
		t.Errorf("quarantined %v after %d crashes, want 2", quarantined, crashes)
	}
	l.waitFor(t, 60)
	l.finish()
	for _, r := range l.results {
		if r.answer.Reason == outcome.Quarantined {
			t.Errorf("an innocent request was quarantined: %v", r)
		}
	}
	kinds := make(map[timeline.Kind]int)
	for _, e := range readEvents(t, cluster) {
		kinds[e.Kind]++
	}
	for _, kind := range []timeline.Kind{timeline.TargetFailed, timeline.StrikeRecorded, timeline.Quarantine} {
		if kinds[kind] == 0 {
			t.Errorf("the time line has no event %q", kind)
		}
	}
}
