package test

import (
	"context"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/settings"
)

func shutdownSpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = hosts("west", 3)
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec("west-e1", model, "west", 8, "--decode-gap=10ms"),
		testbed.EngineSpec("west-e2", model, "west", 8, "--decode-gap=10ms"),
	}
	return spec
}

// stopGracefully sends SIGTERM to a host, removes it from load balancing, as its
// readiness probe would, and waits until it exits.
func stopGracefully(t *testing.T, generator *loadGenerator, host *testbed.Host) {
	t.Helper()
	if err := host.Terminate(); err != nil {
		t.Fatal(err)
	}
	generator.setExcluded(host.ID(), true)
	status, err := host.Wait(testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if status != 0 {
		t.Errorf("%s exited with status %d, want 0", host.ID(), status)
	}
}

// restartHost starts a host that has exited, waits until it is ready and adds it
// to load balancing again.
func restartHost(t *testing.T, generator *loadGenerator, host *testbed.Host) {
	t.Helper()
	if err := host.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := host.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	generator.setExcluded(host.ID(), false)
}

// checkAllSucceeded stops the load generator and checks that all of its calls got
// complete and correct responses.
func checkAllSucceeded(t *testing.T, generator *loadGenerator) {
	t.Helper()
	generator.stopAndWait()
	if len(generator.results) == 0 {
		t.Fatal("the load generator made no calls")
	}
	for _, r := range generator.results {
		if !r.succeeded() {
			t.Error(r)
		}
	}
	t.Logf("%d calls completed", len(generator.results))
}

func TestRollingStopCutsNoRequest(t *testing.T) {
	cluster := startCluster(t, shutdownSpec())
	generator := startLoad(t, cluster, 30, nil)
	generator.waitForCalls(t, 30)
	for _, host := range cluster.Hosts {
		stopGracefully(t, generator, host)
		generator.waitForCalls(t, 30)
		restartHost(t, generator, host)
		generator.waitForCalls(t, 30)
	}
	checkAllSucceeded(t, generator)
	checkNoDuplicateDispatch(t, cluster, "west-e1", "west-e2")
}

func TestOwnerAndEntryStopConcurrently(t *testing.T) {
	cluster := startCluster(t, shutdownSpec())
	generator := startLoad(t, cluster, 30, nil)
	generator.waitForCalls(t, 30)
	owner := ownerOf(cluster, "west", model)
	stopping := []*testbed.Host{owner}
	for _, host := range cluster.Hosts {
		if host != owner && len(stopping) < 2 {
			stopping = append(stopping, host)
		}
	}
	for _, host := range stopping {
		generator.setExcluded(host.ID(), true)
		if err := host.Terminate(); err != nil {
			t.Fatal(err)
		}
	}
	for _, host := range stopping {
		if status, err := host.Wait(testTimeout); err != nil || status != 0 {
			t.Errorf("%s did not exit cleanly: status %d, error %v", host.ID(), status, err)
		}
	}
	generator.waitForCalls(t, 30)
	checkAllSucceeded(t, generator)
}

func TestSecondSignalDoesNotSkipDrain(t *testing.T) {
	cluster := startCluster(t, shutdownSpec())
	generator := startLoad(t, cluster, 10, func(_ int, c *chatclient.Call) { c.MaxTokens = 100 })
	generator.waitForCalls(t, 10)
	host := cluster.Hosts[0]
	generator.setExcluded(host.ID(), true)
	for range 2 {
		if err := host.Terminate(); err != nil {
			t.Fatal(err)
		}
	}
	if status, err := host.Wait(testTimeout); err != nil || status != 0 {
		t.Errorf("the host did not exit cleanly: status %d, error %v", status, err)
	}
	checkAllSucceeded(t, generator)
}

func TestDrainLimitInterruptsStreamWithError(t *testing.T) {
	spec := shutdownSpec()
	spec.Timing.DrainLimit = settings.Duration(300 * time.Millisecond)
	cluster := startCluster(t, spec)
	started := make(chan struct{}, 1)
	call := chatclient.Call{
		Model: model, Prompt: "a stream that outlasts the limit", MaxTokens: 100_000, Stream: true,
		OnToken: func(n int) {
			if n == 1 {
				started <- struct{}{}
			}
		},
	}
	ended := make(chan callResult, 1)
	host := cluster.Hosts[0]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		response, err := host.CallerClient(callerToken).Complete(ctx, call)
		ended <- callResult{call: call, host: host.ID(), response: response, err: err}
	}()
	<-started
	if err := host.Terminate(); err != nil {
		t.Fatal(err)
	}
	r := <-ended
	if r.response.Err == nil || r.response.Err.Outcome != "interrupted" || r.response.Err.Code != "draining" {
		t.Errorf("the caller got no interrupted error with code draining: %v", r)
	}
	if status, err := host.Wait(testTimeout); err != nil || status == 0 {
		t.Errorf("the host interrupted a stream and exited with status %d, error %v; want a non-zero status", status, err)
	}
}
