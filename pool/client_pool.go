package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// clientPool is the state of this entry's requests in one pool of one data
// centre.
type clientPool struct {
	key key
	// owner is the host to which the requests were last sent.
	owner    ident.Host
	requests map[ident.Request]*trackedRequest
	// progress holds the latest progress of each request until the next flush.
	progress map[ident.Request]*peerpb.Progress
	// needReport is set while the owner needs a full report.
	needReport bool
	// unavailableSince is when the owner first could not be reached or responded
	// that it does not own the pool; zero while it is available.
	unavailableSince time.Time
	// fallback is the latest fallback period.
	fallback fallbackPeriod
}

func newClientPool(k key) *clientPool {
	return &clientPool{
		key:      k,
		requests: make(map[ident.Request]*trackedRequest),
		progress: make(map[ident.Request]*peerpb.Progress),
	}
}

// drainProgress returns and clears the pending progress.
func (p *clientPool) drainProgress() *peerpb.ProgressBatch {
	batch := &peerpb.ProgressBatch{Pool: string(p.key.pool)}
	for id, item := range p.progress {
		batch.Items = append(batch.Items, item)
		delete(p.progress, id)
	}
	return batch
}

// markUnavailable records that the owner could not be reached or does not own the
// pool.
func (p *clientPool) markUnavailable(now time.Time) {
	p.needReport = true
	if p.unavailableSince.IsZero() {
		p.unavailableSince = now
	}
}

// markAvailable records that the owner responded.
func (p *clientPool) markAvailable() { p.unavailableSince = time.Time{} }

// inFallback reports whether this host schedules its own requests. This starts
// when the owner has been unavailable for fallbackDelay.
func (p *clientPool) inFallback(now time.Time) bool {
	if p.fallback.includes(now) {
		return true
	}
	if p.unavailableSince.IsZero() || now.Sub(p.unavailableSince) < fallbackDelay {
		return false
	}
	p.unavailableSince = time.Time{}
	p.fallback = newFallbackPeriod(now)
	return true
}
