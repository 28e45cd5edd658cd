package engine

import (
	"context"
	"time"
)

// crossWait is how long a request waits for another to cross answers with.
const crossWait = 5 * time.Second

// crossing is a request that waits for another to cross answers with.
type crossing struct {
	run     *run
	partner chan *run
}

// cross returns the run whose answer the request of r gets instead of its own.
// It is r if no partner comes.
func (e *Engine) cross(ctx context.Context, r *run) *run {
	e.mu.Lock()
	if waiting := e.crossing; waiting != nil {
		e.crossing = nil
		e.mu.Unlock()
		waiting.partner <- r
		return waiting.run
	}
	waiting := &crossing{run: r, partner: make(chan *run, 1)}
	e.crossing = waiting
	e.mu.Unlock()
	return e.awaitPartner(ctx, waiting)
}

func (e *Engine) awaitPartner(ctx context.Context, waiting *crossing) *run {
	timer := time.NewTimer(crossWait)
	defer timer.Stop()
	select {
	case partner := <-waiting.partner:
		return partner
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crossing == waiting {
		e.crossing = nil
		return waiting.run
	}
	return <-waiting.partner
}
