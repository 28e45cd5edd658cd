package engine

import (
	"context"
	"time"
)

// crossWait is how long a request waits for another to cross answers with.
const swapTimeout = 5 * time.Second

// crossing is a request that waits for another to cross answers with.
type responseSwap struct {
	run     *run
	partner chan *run
}

// cross returns the run whose answer the request of r gets instead of its own.
// It is r if no partner comes.
func (e *Engine) swapResponses(ctx context.Context, r *run) *run {
	e.mu.Lock()
	if waiting := e.pendingSwap; waiting != nil {
		e.pendingSwap = nil
		e.mu.Unlock()
		waiting.partner <- r
		return waiting.run
	}
	waiting := &responseSwap{run: r, partner: make(chan *run, 1)}
	e.pendingSwap = waiting
	e.mu.Unlock()
	return e.waitForPartner(ctx, waiting)
}

func (e *Engine) waitForPartner(ctx context.Context, waiting *responseSwap) *run {
	timer := time.NewTimer(swapTimeout)
	defer timer.Stop()
	select {
	case partner := <-waiting.partner:
		return partner
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pendingSwap == waiting {
		e.pendingSwap = nil
		return waiting.run
	}
	return <-waiting.partner
}
