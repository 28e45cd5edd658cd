package engine

import (
	"context"
	"time"
)

// swapTimeout limits how long a request waits for another one to swap responses with.
const swapTimeout = 5 * time.Second

// responseSwap is a request that waits for another one to swap responses with.
type responseSwap struct {
	run     *run
	partner chan *run
}

// swapResponses returns the run whose response the request of r receives. It returns r
// itself if no partner arrives in time.
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
