package test

import (
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/outcome"
)

const (
	crashWaves = 5
	// crashWaveInterval is longer than the time in which all hosts learn of a crash.
	crashWaveInterval = 3500 * time.Millisecond
	// callsPerHost is how many crashing calls each host gets at one moment.
	callsPerHost = 3
	// maxRunsAfterThreeCrashes is how many more runs are allowed once three targets have
	// crashed and all hosts can know it.
	maxRunsAfterThreeCrashes = 3
)

func crashWaveSpec() testbed.Spec {
	spec := baseSpec()
	for _, dc := range []ident.DataCentre{"west", "east"} {
		spec.Hosts = append(spec.Hosts, hosts(dc, 2)...)
		for _, n := range []string{"1", "2", "3"} {
			name := ident.Target(string(dc) + "-e" + n)
			spec.Targets = append(spec.Targets, testbed.EngineSpec(name, model, dc, 6, "--decode-gap=10ms"))
		}
	}
	return spec
}

func TestCrashingCallSentToAllHostsAtOnceRunsOnNoMoreTargets(t *testing.T) {
	cluster := startCluster(t, crashWaveSpec())
	runs, crashed := 0, 0
	for wave := range crashWaves {
		ran := sendCrashingCalls(t, cluster)
		if crashed >= 3 {
			runs += ran
		}
		crashed += restartStopped(t, cluster)
		t.Logf("wave %d: %d calls ran, %d targets have crashed", wave, ran, crashed)
		time.Sleep(crashWaveInterval)
	}
	if runs > maxRunsAfterThreeCrashes {
		t.Errorf("%d runs in the waves after the third crash, want at most %d", runs, maxRunsAfterThreeCrashes)
	}
}

// sendCrashingCalls sends the call to all hosts at the same moment. It returns how many of
// these calls ran.
func sendCrashingCalls(t *testing.T, cluster *testbed.Cluster) (ran int) {
	t.Helper()
	call := chatclient.Call{Model: model, Prompt: "a prompt with " + engine.DefaultCrashMarker, MaxTokens: 20, Stream: true}
	ctx := testContext(t)
	var (
		group sync.WaitGroup
		mu    sync.Mutex
	)
	for n := range callsPerHost * len(cluster.Hosts) {
		group.Go(func() {
			response, err := cluster.Hosts[n%len(cluster.Hosts)].CallerClient(callerToken).Complete(ctx, call)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if response.Err != nil && response.Err.Outcome != outcome.NotRun {
				ran++
			}
		})
	}
	group.Wait()
	return ran
}

// restartStopped starts the targets that have crashed again and returns their number.
func restartStopped(t *testing.T, cluster *testbed.Cluster) (count int) {
	t.Helper()
	ctx := testContext(t)
	for _, target := range cluster.Targets {
		if target.Running() {
			continue
		}
		count++
		if err := target.Start(); err != nil {
			t.Fatal(err)
		}
		if err := target.WaitListening(ctx); err != nil {
			t.Fatal(err)
		}
	}
	return count
}

func TestCrashingCallIsKnownAfterAllHostsRestart(t *testing.T) {
	cluster := startCluster(t, crashWaveSpec())
	for range 2 {
		sendCrashingCalls(t, cluster)
		restartStopped(t, cluster)
		time.Sleep(crashWaveInterval)
	}
	for _, host := range cluster.Hosts {
		if err := host.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, host := range cluster.Hosts {
		if err := host.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, host := range cluster.Hosts {
		if err := host.WaitReady(testContext(t)); err != nil {
			t.Fatal(err)
		}
	}
	if ran := sendCrashingCalls(t, cluster); ran > 0 {
		t.Errorf("%d calls ran after the restart, want none", ran)
	}
}
