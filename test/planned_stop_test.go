package test

import (
	"context"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/settings"
)

func stopSpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = hosts("west", 3)
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec("west-e1", model, "west", 8, "--decode-gap=10ms"),
		testbed.EngineSpec("west-e2", model, "west", 8, "--decode-gap=10ms"),
	}
	return spec
}

// stopGracefully takes a host out of the balancer, as its readiness would, asks
// it to stop and waits for its end.
func stopGracefully(t *testing.T, l *load, host *testbed.Host) {
	t.Helper()
	if err := host.Terminate(); err != nil {
		t.Fatal(err)
	}
	l.takeOut(host.HostName(), true)
	status, err := host.Wait(bound)
	if err != nil {
		t.Fatal(err)
	}
	if status != 0 {
		t.Errorf("%s stopped with status %d", host.HostName(), status)
	}
}

// startAgain starts a host that has ended and waits until it takes callers.
func startAgain(t *testing.T, l *load, host *testbed.Host) {
	t.Helper()
	if err := host.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if err := host.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	l.takeOut(host.HostName(), false)
}

// checkAllWhole checks that every call of the load was answered whole.
func checkAllWhole(t *testing.T, l *load) {
	t.Helper()
	l.finish()
	if len(l.results) == 0 {
		t.Fatal("no call was made")
	}
	for _, r := range l.results {
		if !r.whole() {
			t.Error(r)
		}
	}
	t.Logf("%d calls", len(l.results))
}

func TestRollingStopCutsNoRequest(t *testing.T) {
	cluster := startCluster(t, stopSpec())
	l := startLoad(t, cluster, 30, nil)
	l.waitFor(t, 30)
	for _, host := range cluster.Hosts {
		stopGracefully(t, l, host)
		l.waitFor(t, 30)
		startAgain(t, l, host)
		l.waitFor(t, 30)
	}
	checkAllWhole(t, l)
	checkRunOnce(t, cluster, "west-e1", "west-e2")
}

func TestOwnerAndAnEntryStopAtOnce(t *testing.T) {
	cluster := startCluster(t, stopSpec())
	l := startLoad(t, cluster, 30, nil)
	l.waitFor(t, 30)
	owner := ownerOf(cluster, "west", model)
	stopping := []*testbed.Host{owner}
	for _, host := range cluster.Hosts {
		if host != owner && len(stopping) < 2 {
			stopping = append(stopping, host)
		}
	}
	for _, host := range stopping {
		l.takeOut(host.HostName(), true)
		if err := host.Terminate(); err != nil {
			t.Fatal(err)
		}
	}
	for _, host := range stopping {
		if status, err := host.Wait(bound); err != nil || status != 0 {
			t.Errorf("%s: status %d, error %v", host.HostName(), status, err)
		}
	}
	l.waitFor(t, 30)
	checkAllWhole(t, l)
}

func TestSecondSignalIsNoShortcut(t *testing.T) {
	cluster := startCluster(t, stopSpec())
	l := startLoad(t, cluster, 10, func(_ int, c *chatclient.Call) { c.MaxTokens = 100 })
	l.waitFor(t, 10)
	host := cluster.Hosts[0]
	l.takeOut(host.HostName(), true)
	for range 2 {
		if err := host.Terminate(); err != nil {
			t.Fatal(err)
		}
	}
	if status, err := host.Wait(bound); err != nil || status != 0 {
		t.Errorf("status %d, error %v", status, err)
	}
	checkAllWhole(t, l)
}

func TestDrainLimitCutsAndTells(t *testing.T) {
	spec := stopSpec()
	spec.Timing.DrainLimit = settings.Duration(300 * time.Millisecond)
	cluster := startCluster(t, spec)
	begun := make(chan struct{}, 1)
	call := chatclient.Call{
		Model: model, Prompt: "a stream that outlasts the limit", MaxTokens: 100_000, Stream: true,
		OnToken: func(n int) {
			if n == 1 {
				begun <- struct{}{}
			}
		},
	}
	ended := make(chan result, 1)
	host := cluster.Hosts[0]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		answer, err := host.CallerClient(token).Complete(ctx, call)
		ended <- result{call: call, host: host.HostName(), answer: answer, err: err}
	}()
	<-begun
	if err := host.Terminate(); err != nil {
		t.Fatal(err)
	}
	r := <-ended
	if r.answer.Err == nil || r.answer.Err.Outcome != "interrupted" || r.answer.Err.Code != "draining" {
		t.Errorf("the caller was not told: %v", r)
	}
	if status, err := host.Wait(bound); err != nil || status == 0 {
		t.Errorf("a stop that cut a stream ended with status %d, error %v", status, err)
	}
}
