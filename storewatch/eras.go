package storewatch

import (
	"context"
	"sync"
)

// Eras knows the store's newest era.
type Eras struct {
	// OnEnd is called when an era has ended, before anything of the next one is used.
	OnEnd func(before, after uint64)

	mu  sync.Mutex
	era uint64
	// ctx is cancelled when the era ends.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// NewEras returns an Eras that knows no era yet.
func NewEras() *Eras {
	e := &Eras{OnEnd: func(uint64, uint64) {}}
	e.ctx, e.cancel = context.WithCancelCause(context.Background())
	return e
}

// Current returns the newest known era and a context that is cancelled when it ends.
func (e *Eras) Current() (uint64, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era, e.ctx
}

// Observe records the era of a response. It returns false if the response belongs to an era that has ended.
func (e *Eras) Observe(era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.era {
		return era == e.era
	}
	before := e.era
	e.era = era
	if before == 0 {
		return true
	}
	e.OnEnd(before, era)
	e.cancel(ErrEraEnded)
	e.ctx, e.cancel = context.WithCancelCause(context.Background())
	return true
}
