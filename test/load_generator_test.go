package test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

// callResult is a call and its result.
type callResult struct {
	call     chatclient.Call
	host     ident.Host
	response chatclient.Response
	err      error
}

// loadGenerator calls the hosts of a cluster until it is stopped. Each of its
// workers makes one call after another. Hosts are chosen round robin, as a load
// balancer in front of the cluster would.
type loadGenerator struct {
	cluster *testbed.Cluster
	// customize changes each call before it is made. It may be nil.
	customize func(n int, c *chatclient.Call)

	stop      context.CancelFunc
	workers   sync.WaitGroup
	mu        sync.Mutex
	callsMade int
	results   []callResult
	excluded  map[ident.Host]bool
}

// startLoad starts a load generator, which is stopped when the test ends.
func startLoad(t *testing.T, cluster *testbed.Cluster, workers int, customize func(n int, c *chatclient.Call)) *loadGenerator {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	l := &loadGenerator{cluster: cluster, customize: customize, stop: stop, excluded: make(map[ident.Host]bool)}
	t.Cleanup(l.stopAndWait)
	for range workers {
		l.workers.Go(func() {
			for ctx.Err() == nil {
				l.callOnce()
			}
		})
	}
	return l
}

// stopAndWait stops making calls and waits for those in progress.
func (l *loadGenerator) stopAndWait() {
	l.stop()
	l.workers.Wait()
}

// setExcluded removes a host from load balancing or adds it again.
func (l *loadGenerator) setExcluded(host ident.Host, excluded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excluded[host] = excluded
}

func (l *loadGenerator) nextHost() (int, *testbed.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callsMade++
	for i := range l.cluster.Hosts {
		h := l.cluster.Hosts[(l.callsMade+i)%len(l.cluster.Hosts)]
		if !l.excluded[h.ID()] {
			return l.callsMade, h
		}
	}
	return l.callsMade, nil
}

func (l *loadGenerator) callOnce() {
	n, host := l.nextHost()
	if host == nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	call := chatclient.Call{
		Model:     model,
		Prompt:    fmt.Sprintf("load call %d", n),
		MaxTokens: 5 + n%40,
		Stream:    n%3 != 0,
	}
	if l.customize != nil {
		l.customize(n, &call)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := host.CallerClient(callerToken).Complete(ctx, call)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, callResult{call: call, host: host.ID(), response: response, err: err})
}

// countCompleted returns how many calls have completed, successfully or not.
func (l *loadGenerator) countCompleted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// countSucceeded returns how many calls got a complete and correct response.
func (l *loadGenerator) countSucceeded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, r := range l.results {
		if r.succeeded() {
			count++
		}
	}
	return count
}

// waitForCalls waits until n more calls have completed.
func (l *loadGenerator) waitForCalls(t *testing.T, n int) {
	t.Helper()
	begin := l.countCompleted()
	waitUntil(t, fmt.Sprintf("%d more completed calls", n), func() bool { return l.countCompleted() >= begin+n })
}

// succeeded reports whether the call got the complete response to its own prompt.
func (r callResult) succeeded() bool {
	want := chatclient.ExpectedContent(r.call.Prompt, r.call.MaxTokens)
	return r.err == nil && r.response.Whole && r.response.Content == want
}

func (r callResult) String() string {
	return fmt.Sprintf("%q through %s: status %d, outcome %q, reason %q, whole %v, %d of %d tokens, error %v, error body %+v",
		r.call.Prompt, r.host, r.response.Status, r.response.Outcome, r.response.Reason, r.response.Whole,
		r.response.Tokens, r.call.MaxTokens, r.err, r.response.Err)
}
