package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

// TestSummaryHasTheWaitOfARequestThatGotNoSlot guards against requests that wait in the queue
// until their callers leave, and that the log shows as if they had not waited.
func TestSummaryHasTheWaitOfARequestThatGotNoSlot(t *testing.T) {
	const patience = 200 * time.Millisecond
	f := newFixture(t, route.Route{Kind: route.NonIdempotent, Timeout: time.Minute, LatencyObjective: 30 * time.Second}, hang)
	f.keepTargets(1)
	observer := &waitingObserver{}
	f.relay.options.Observer = observer
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	const slots = 4
	for range slots {
		running.Go(func() { f.call(ctx, nil) })
	}
	for f.client.dispatchCount() < slots {
		time.Sleep(time.Millisecond)
	}
	waiting, leave := context.WithTimeout(context.Background(), patience)
	defer leave()
	f.call(waiting, func(c *Call) { c.ID = waitingID })
	got := observer.summary()
	if got.Request != waitingID || got.Dispatches != 0 || got.TotalTime < patience {
		t.Fatalf("the request was dispatched %d times and ended after %v, want it to wait %v in the queue", got.Dispatches, got.TotalTime, patience)
	}
	if got.QueueTime < patience/2 {
		t.Errorf("the summary has a time in the queue of %v, and a total time of %v", got.QueueTime, got.TotalTime)
	}
}

// waitingID is the ID of the request that waits.
const waitingID = "waiting"

// waitingObserver is an Observer that keeps the summary of the request that waits. Other requests
// end at the same time.
type waitingObserver struct {
	mu   sync.Mutex
	last Summary
}

func (o *waitingObserver) Finished(s Summary) {
	if s.Request != waitingID {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last = s
}

func (o *waitingObserver) summary() Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
}

func (c *scriptedClient) dispatchCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.dispatches)
}
