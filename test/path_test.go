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
	slowGap        = "--decode-gap=20ms"
)

func pathSpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = append(hosts("west", 3), hosts("east", 1)...)
	spec.Targets = []testbed.TargetSpec{
		testbed.EngineSpec("west-e1", model, "west", slotsPerEngine, slowGap),
		testbed.EngineSpec("west-e2", model, "west", slotsPerEngine, slowGap),
		testbed.EngineSpec("east-e1", model, "east", slotsPerEngine),
		testbed.ServiceSpec("west-s1", desk, "west", slotsPerEngine),
		testbed.ServiceSpec("east-s1", desk, "east", slotsPerEngine),
	}
	return spec
}

// checkAnswer checks that a call got the whole answer to its own prompt.
func checkAnswer(t *testing.T, call chatclient.Call, answer chatclient.Response, err error) {
	t.Helper()
	want := chatclient.ExpectedContent(call.Prompt, call.MaxTokens)
	if err != nil || !answer.Whole || answer.Content != want {
		t.Errorf("%q (stream %v): status %d, whole %v, error %v, %+v, %d tokens of %d",
			call.Prompt, call.Stream, answer.Status, answer.Whole, err, answer.Err, answer.Tokens, call.MaxTokens)
	}
}

func TestEachEntryServesStreamedAndWholeAnswers(t *testing.T) {
	cluster := startCluster(t, pathSpec())
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	for _, host := range cluster.Hosts {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s stream %v", host.HostName(), stream), func(t *testing.T) {
				call := chatclient.Call{
					Model: model, Stream: stream, MaxTokens: 12,
					Prompt: fmt.Sprintf("through %s, stream %v", host.HostName(), stream),
				}
				answer, err := host.CallerClient(token).Complete(ctx, call)
				checkAnswer(t, call, answer, err)
				if !stream && answer.Outcome != outcome.Completed {
					t.Errorf("the outcome is %q", answer.Outcome)
				}
			})
		}
	}
	checkRunOnce(t, cluster, "west-e1", "west-e2", "east-e1")
}

func TestEachEntryCallsPlainServices(t *testing.T) {
	cluster := startCluster(t, pathSpec())
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	for _, host := range cluster.Hosts {
		for _, call := range []chatclient.ServiceCall{
			{Pool: desk, Path: "/codes/4711", Method: http.MethodGet},
			{Pool: desk, Path: "/codes", Body: "some text"},
			{Pool: desk, Path: "/filings", Body: `{"idempotencyKey":"k"}`, Key: "key of " + string(host.HostName()), NonIdempotent: true},
		} {
			t.Run(fmt.Sprintf("%s %s %s", host.HostName(), call.Method, call.Path), func(t *testing.T) {
				answer, err := host.CallerClient(token).CallService(ctx, call)
				if err != nil || answer.Status != http.StatusOK || answer.Outcome != outcome.Completed {
					t.Fatalf("status %d, outcome %q, error %v, %+v", answer.Status, answer.Outcome, err, answer.Err)
				}
				if answer.Echo.Path != call.Path || answer.Echo.Body != call.Body {
					t.Errorf("the service received %+v", answer.Echo)
				}
			})
		}
	}
	checkServedOnce(t, cluster, 3*len(cluster.Hosts), "west-s1", "east-s1")
}

// checkServedOnce checks that the services received that many calls and none
// twice.
func checkServedOnce(t *testing.T, cluster *testbed.Cluster, want int, services ...ident.Target) {
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
		t.Errorf("the services received %d calls of %d ids, want %d", total, len(received), want)
	}
}

// burst is a number of calls that are made at once.
type burst struct {
	running   sync.WaitGroup
	streaming atomic.Int64
	done      atomic.Int64
}

// start makes n calls through the host. Every third is not streamed.
func (b *burst) start(ctx context.Context, host *testbed.Host, n, tokens int, check func(chatclient.Call, chatclient.Response, error)) {
	for i := range n {
		call := chatclient.Call{
			Model: model, MaxTokens: tokens, Stream: i%3 != 2,
			Prompt: fmt.Sprintf("call %d through %s", i, host.HostName()),
			OnToken: func(tokens int) {
				if tokens == 1 {
					b.streaming.Add(1)
				}
			},
		}
		b.running.Go(func() {
			answer, err := host.CallerClient(token).Complete(ctx, call)
			b.done.Add(1)
			check(call, answer, err)
		})
	}
}

func TestOwnerIsKilledWhileRequestsAreQueuedAndStreaming(t *testing.T) {
	const (
		perEntry = 15
		tokens   = 100
	)
	cluster := startCluster(t, pathSpec())
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	owner := ownerOf(cluster, "west", model)
	living, dying := &burst{}, &burst{}
	for _, host := range cluster.Hosts {
		if host == owner {
			dying.start(ctx, host, perEntry, tokens, func(chatclient.Call, chatclient.Response, error) {})
			continue
		}
		living.start(ctx, host, perEntry, tokens, func(call chatclient.Call, answer chatclient.Response, err error) {
			checkAnswer(t, call, answer, err)
		})
	}
	until(t, "streams through living entries", func() bool { return living.streaming.Load() > 0 })
	until(t, "full engines", func() bool { return running(t, cluster, "west-e1", "west-e2") == 2*slotsPerEngine })
	until(t, "queued requests", func() bool { return queuedAt(ctx, t, cluster, owner) >= perEntry })
	if err := owner.Kill(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%s owned the pool; %d of %d calls through living entries were done when it was killed",
		owner.HostName(), living.done.Load(), 3*perEntry)
	living.running.Wait()
	dying.running.Wait()
	checkOwnerChanged(ctx, t, cluster, owner)
	checkRunOnce(t, cluster, "west-e1", "west-e2", "east-e1")
}

// queuedAt counts the requests from other hosts that the owner has queued and
// not granted, from its time line.
func queuedAt(ctx context.Context, t *testing.T, cluster *testbed.Cluster, owner *testbed.Host) int {
	t.Helper()
	events, err := cluster.Events(ctx, owner)
	if err != nil {
		t.Fatal(err)
	}
	queued := make(map[ident.Request]bool)
	for _, e := range events {
		switch {
		case e.Host != owner.HostName():
		case e.Kind == timeline.Queued && e.Pool == model && e.Peer != owner.HostName():
			queued[e.Request] = true
		case e.Kind == timeline.Granted:
			delete(queued, e.Request)
		}
	}
	return len(queued)
}

// checkOwnerChanged checks that another host of the killed owner's data centre
// granted requests of the pool.
func checkOwnerChanged(ctx context.Context, t *testing.T, cluster *testbed.Cluster, killed *testbed.Host) {
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
			if e.Host == host.HostName() && e.Kind == timeline.Granted && e.Pool == model {
				granted++
			}
		}
	}
	if granted == 0 {
		t.Error("no other host granted requests of the pool")
	}
}

// running counts the requests that run on the engines.
func running(t *testing.T, cluster *testbed.Cluster, engines ...ident.Target) int {
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
