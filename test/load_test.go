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

// result is one call with what came of it.
type result struct {
	call   chatclient.Call
	host   ident.Host
	answer chatclient.Response
	err    error
}

// load keeps calling a set of hosts until it is stopped. Each worker makes one
// call after another, to the next host that the balancer would choose.
type load struct {
	cluster *testbed.Cluster
	// change adapts each call before it is made; it may be nil.
	change func(n int, c *chatclient.Call)

	stop    context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	made    int
	results []result
	out     map[ident.Host]bool
}

// startLoad starts the workers.
func startLoad(t *testing.T, cluster *testbed.Cluster, workers int, change func(n int, c *chatclient.Call)) *load {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	l := &load{cluster: cluster, change: change, stop: stop, out: make(map[ident.Host]bool)}
	t.Cleanup(l.finish)
	for range workers {
		l.running.Go(func() {
			for ctx.Err() == nil {
				l.callOnce()
			}
		})
	}
	return l
}

// finish lets the calls in progress end and starts no more.
func (l *load) finish() {
	l.stop()
	l.running.Wait()
}

// takeOut makes the balancer leave out a host, or take it in again.
func (l *load) takeOut(host ident.Host, out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out[host] = out
}

func (l *load) next() (int, *testbed.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.made++
	for i := range l.cluster.Hosts {
		h := l.cluster.Hosts[(l.made+i)%len(l.cluster.Hosts)]
		if !l.out[h.HostName()] {
			return l.made, h
		}
	}
	return l.made, nil
}

func (l *load) callOnce() {
	n, host := l.next()
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
	if l.change != nil {
		l.change(n, &call)
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	answer, err := host.CallerClient(token).Complete(ctx, call)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result{call: call, host: host.HostName(), answer: answer, err: err})
}

// count returns how many calls have ended.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// wholes returns how many calls were answered whole.
func (l *load) wholes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, r := range l.results {
		if r.whole() {
			count++
		}
	}
	return count
}

// waitFor waits until n more calls have ended.
func (l *load) waitFor(t *testing.T, n int) {
	t.Helper()
	begin := l.count()
	until(t, fmt.Sprintf("%d more calls", n), func() bool { return l.count() >= begin+n })
}

// whole says whether a call got the whole answer to its own prompt.
func (r result) whole() bool {
	want := chatclient.ExpectedContent(r.call.Prompt, r.call.MaxTokens)
	return r.err == nil && r.answer.Whole && r.answer.Content == want
}

func (r result) String() string {
	return fmt.Sprintf("%q through %s: status %d, outcome %q, reason %q, whole %v, %d of %d tokens, error %v, told %+v",
		r.call.Prompt, r.host, r.answer.Status, r.answer.Outcome, r.answer.Reason, r.answer.Whole,
		r.answer.Tokens, r.call.MaxTokens, r.err, r.answer.Err)
}
