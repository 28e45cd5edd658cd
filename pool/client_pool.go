package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// clientPool is what this entry has in one pool of one data centre.
type clientPool struct {
	key key
	// owner is the host that was last told about the tickets.
	owner   ident.Host
	tickets map[ident.Request]*ticket
	// progress waits for the next flush, the newest report of each request.
	progress map[ident.Request]*peerpb.Progress
	// needReport says that the owner has to be told everything anew.
	needReport bool
	// deniedSince is when the owner was first not reached or disowned the pool,
	// or zero.
	deniedSince time.Time
	// fallbackUntil is until when this host schedules its own requests, because
	// it could not reach an owner.
	fallbackUntil time.Time
}

func newClientPool(k key) *clientPool {
	return &clientPool{
		key:      k,
		tickets:  make(map[ident.Request]*ticket),
		progress: make(map[ident.Request]*peerpb.Progress),
	}
}

// takeProgress returns the waiting reports and forgets them.
func (p *clientPool) takeProgress() *peerpb.ProgressBatch {
	batch := &peerpb.ProgressBatch{Pool: string(p.key.pool)}
	for id, item := range p.progress {
		batch.Items = append(batch.Items, item)
		delete(p.progress, id)
	}
	return batch
}

// denied notes that the owner did not take the pool's requests.
func (p *clientPool) denied(now time.Time) {
	p.needReport = true
	if p.deniedSince.IsZero() {
		p.deniedSince = now
	}
}

// served notes that the owner answers.
func (p *clientPool) served() { p.deniedSince = time.Time{} }

// inFallback reports whether this host has to schedule its own requests, which
// begins when an owner was out of reach for fallbackAfter.
func (p *clientPool) inFallback(now time.Time) bool {
	if now.Before(p.fallbackUntil) {
		return true
	}
	if p.deniedSince.IsZero() || now.Sub(p.deniedSince) < fallbackAfter {
		return false
	}
	p.deniedSince = time.Time{}
	p.fallbackUntil = now.Add(fallbackHold)
	return true
}
