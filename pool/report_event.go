package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

// reportEvent applies an entry's full report of its requests in the pool.
type reportEvent struct {
	from       ident.Host
	epoch      uint64
	queued     []admission.Request
	dispatched []admission.DispatchedRequest
}

func (e reportEvent) apply(o *owner, now time.Time) {
	for i := range e.queued {
		o.recordQueued(&e.queued[i])
	}
	o.record(timeline.Event{Kind: timeline.EntryReported, Peer: e.from})
	o.scheduler.ReconcileEntry(now, e.from, e.queued, e.dispatched)
	if e.epoch == o.epoch {
		o.recovery.markReported(e.from)
	}
}
