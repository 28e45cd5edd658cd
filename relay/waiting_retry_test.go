package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/retrybudget"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// fullTargets are two targets: one fails all requests, the other one is full until release
// is closed.
type fullTargets struct {
	release chan struct{}

	mu   sync.Mutex
	sent map[ident.Request]int
}

func (f *fullTargets) send(ctx context.Context, d Dispatch) (*Response, error) {
	f.mu.Lock()
	f.sent[d.Call.ID]++
	f.mu.Unlock()
	if d.Target.Name == "t1" {
		return nil, &DispatchError{Result: schedule.Failed, Sent: true, Err: errors.New("scripted")}
	}
	<-f.release
	return respond(200, "ok")(ctx, d)
}

func (f *fullTargets) retries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	retries := 0
	for _, sent := range f.sent {
		retries += sent - 1
	}
	return retries
}

func TestRetriesThatWaitForASlotDoNotArriveTogetherWithLaterOnes(t *testing.T) {
	const (
		window    = 100 * time.Millisecond
		allowance = 10
		batches   = 10
		batch     = 30
	)
	targets := &fullTargets{release: make(chan struct{}), sent: make(map[ident.Request]int)}
	f := newFixture(t, route.Route{Kind: route.Idempotent, MaxAttempts: 2, Timeout: time.Minute, LatencyObjective: 30 * time.Second}, targets.send)
	f.keepTargets(2)
	f.team.Quota = route.Quota{PerSecond: 1000, Burst: 1000}
	f.relay.options.Observer = discardSummaries{}
	started := time.Now().Add(-time.Hour)
	budget := retrybudget.New(started, retrybudget.Limits{Allowance: allowance, Window: window})
	budget.SetHostCount(started, 1)
	f.relay.options.RetryBudget = budget
	var calls sync.WaitGroup
	for i := range batches {
		for n := range batch {
			calls.Go(func() {
				f.call(t.Context(), func(c *Call) { c.ID = ident.Request(fmt.Sprintf("%d-%d", i, n)) })
			})
		}
		time.Sleep(2 * window)
	}
	before := targets.retries()
	close(targets.release)
	calls.Wait()
	if retries := targets.retries() - before; retries == 0 || retries > allowance {
		t.Errorf("%d retries reached targets at once, want 1 to %d", retries, allowance)
	}
}
