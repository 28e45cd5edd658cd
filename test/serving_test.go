package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	slotsPerEngine = 4
	slowDecodeGap  = "--decode-gap=20ms"
)

func twoDataCentreSpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = append(hosts("west", 3), hosts("east", 1)...)
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec("west-e1", model, "west", slotsPerEngine, slowDecodeGap),
		testbed.EngineSpec("west-e2", model, "west", slotsPerEngine, slowDecodeGap),
		testbed.EngineSpec("east-e1", model, "east", slotsPerEngine),
		testbed.ServiceSpec("west-s1", servicePool, "west", slotsPerEngine),
		testbed.ServiceSpec("east-s1", servicePool, "east", slotsPerEngine),
	}
	return spec
}

// checkResponse checks that the call got the complete response to its own prompt.
func checkResponse(t *testing.T, call chatclient.Call, response chatclient.Response, err error) {
	t.Helper()
	want := chatclient.ExpectedContent(call.Prompt, call.MaxTokens)
	if err != nil || !response.Whole || response.Content != want {
		t.Errorf("no complete response to %q (stream %v): status %d, whole %v, error %v, error body %+v, %d of %d tokens",
			call.Prompt, call.Stream, response.Status, response.Whole, err, response.Err, response.Tokens, call.MaxTokens)
	}
}

func TestEachEntryServesStreamedAndWholeAnswers(t *testing.T) {
	cluster := startCluster(t, twoDataCentreSpec())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, host := range cluster.Hosts {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s stream %v", host.ID(), stream), func(t *testing.T) {
				call := chatclient.Call{
					Model: model, Stream: stream, MaxTokens: 12,
					Prompt: fmt.Sprintf("through %s, stream %v", host.ID(), stream),
				}
				response, err := host.CallerClient(callerToken).Complete(ctx, call)
				checkResponse(t, call, response, err)
				if !stream && response.Outcome != outcome.Completed {
					t.Errorf("got outcome %q, want completed", response.Outcome)
				}
			})
		}
	}
	checkNoDuplicateDispatch(t, cluster, "west-e1", "west-e2", "east-e1")
}

func TestEachEntryCallsPlainServices(t *testing.T) {
	cluster := startCluster(t, twoDataCentreSpec())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, host := range cluster.Hosts {
		for _, call := range []chatclient.ServiceCall{
			{Pool: servicePool, Path: "/codes/4711", Method: http.MethodGet},
			{Pool: servicePool, Path: "/codes", Body: "some text"},
			{Pool: servicePool, Path: "/filings", Body: `{"idempotencyKey":"k"}`, Key: "key of " + string(host.ID()), NonIdempotent: true},
		} {
			t.Run(fmt.Sprintf("%s %s %s", host.ID(), call.Method, call.Path), func(t *testing.T) {
				response, err := host.CallerClient(callerToken).CallService(ctx, call)
				if err != nil || response.Status != http.StatusOK || response.Outcome != outcome.Completed {
					t.Fatalf("service call failed: status %d, outcome %q, error %v, error body %+v", response.Status, response.Outcome, err, response.Err)
				}
				if response.Echo.Path != call.Path || response.Echo.Body != call.Body {
					t.Errorf("the service received %+v, want the path and body of the call", response.Echo)
				}
			})
		}
	}
	checkServiceCalls(t, cluster, 3*len(cluster.Hosts), "west-s1", "east-s1")
}

// checkServiceCalls checks that the services together received the wanted number
// of calls, and none of them twice.
func checkServiceCalls(t *testing.T, cluster *testbed.Cluster, want int, services ...ident.Target) {
	t.Helper()
	received := make(map[string]int)
	total := 0
	for _, name := range services {
		record, err := cluster.Targets[name].ServiceRecord()
		if err != nil {
			t.Fatal(err)
		}
		for id, count := range record.ReceivedCounts() {
			received[id] += count
			total += count
		}
	}
	if total != want || len(received) != want {
		t.Errorf("the services received %d calls with %d distinct ids, want %d of each", total, len(received), want)
	}
}

// callBurst is a set of concurrent calls.
type callBurst struct {
	pending   sync.WaitGroup
	streaming atomic.Int64
	completed atomic.Int64
}

// start makes n concurrent calls through the host. Every third is not streamed.
func (b *callBurst) start(ctx context.Context, host *testbed.Host, n, tokens int, check func(chatclient.Call, chatclient.Response, error)) {
	for i := range n {
		call := chatclient.Call{
			Model: model, MaxTokens: tokens, Stream: i%3 != 2,
			Prompt: fmt.Sprintf("call %d through %s", i, host.ID()),
			OnToken: func(tokens int) {
				if tokens == 1 {
					b.streaming.Add(1)
				}
			},
		}
		b.pending.Go(func() {
			response, err := host.CallerClient(callerToken).Complete(ctx, call)
			b.completed.Add(1)
			check(call, response, err)
		})
	}
}

func TestOwnerIsKilledWhileRequestsAreQueuedAndStreaming(t *testing.T) {
	const (
		perEntry = 15
		tokens   = 100
	)
	cluster := startCluster(t, twoDataCentreSpec())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	owner := ownerOf(cluster, "west", model)
	viaSurvivors, viaOwner := &callBurst{}, &callBurst{}
	for _, host := range cluster.Hosts {
		if host == owner {
			viaOwner.start(ctx, host, perEntry, tokens, func(chatclient.Call, chatclient.Response, error) {})
			continue
		}
		viaSurvivors.start(ctx, host, perEntry, tokens, func(call chatclient.Call, response chatclient.Response, err error) {
			checkResponse(t, call, response, err)
		})
	}
	waitUntil(t, "streams through the surviving hosts", func() bool { return viaSurvivors.streaming.Load() > 0 })
	waitUntil(t, "all engine slots in use", func() bool { return countRunning(t, cluster, "west-e1", "west-e2") == 2*slotsPerEngine })
	waitUntil(t, "queued requests at the owner", func() bool { return countQueuedFromPeers(ctx, t, cluster, owner) >= perEntry })
	if err := owner.Kill(); err != nil {
		t.Fatal(err)
	}
	t.Logf("killed the pool owner %s; %d of %d calls through the surviving hosts had completed by then",
		owner.ID(), viaSurvivors.completed.Load(), 3*perEntry)
	viaSurvivors.pending.Wait()
	viaOwner.pending.Wait()
	checkOwnerFailedOver(ctx, t, cluster, owner)
	checkNoDuplicateDispatch(t, cluster, "west-e1", "west-e2", "east-e1")
}

// countQueuedFromPeers counts the requests from other hosts that the owner's
// timeline shows as queued and not granted.
func countQueuedFromPeers(ctx context.Context, t *testing.T, cluster *testbed.Cluster, owner *testbed.Host) int {
	t.Helper()
	events, err := cluster.Events(ctx, owner)
	if err != nil {
		t.Fatal(err)
	}
	queued := make(map[ident.Request]bool)
	for _, e := range events {
		switch {
		case e.Host != owner.ID():
		case e.Kind == timeline.Queued && e.Pool == model && e.Peer != owner.ID():
			queued[e.Request] = true
		case e.Kind == timeline.Granted:
			delete(queued, e.Request)
		}
	}
	return len(queued)
}

// checkOwnerFailedOver checks that another host in the killed owner's data centre
// granted requests of the pool.
func checkOwnerFailedOver(ctx context.Context, t *testing.T, cluster *testbed.Cluster, killed *testbed.Host) {
	t.Helper()
	granted := 0
	for _, host := range cluster.Hosts {
		if host == killed || host.Settings.DataCentre != killed.Settings.DataCentre {
			continue
		}
		events, err := cluster.Events(ctx, host)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range events {
			if e.Host == host.ID() && e.Kind == timeline.Granted && e.Pool == model {
				granted++
			}
		}
	}
	if granted == 0 {
		t.Error("no other host in the data centre granted requests of the pool after the owner was killed")
	}
}

// countRunning counts the requests that are running on the engines.
func countRunning(t *testing.T, cluster *testbed.Cluster, engines ...ident.Target) int {
	t.Helper()
	count := 0
	for _, name := range engines {
		record, err := cluster.Targets[name].EngineRecord()
		if err != nil {
			t.Fatal(err)
		}
		for _, run := range record.Runs {
			if run.State == "running" {
				count++
			}
		}
	}
	return count
}
