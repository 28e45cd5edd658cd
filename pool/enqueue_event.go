package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// enqueueEvent queues a request of an entry.
type enqueueEvent struct{ request admission.Request }

func (e enqueueEvent) apply(o *owner, now time.Time) {
	if e.request.Forwarded {
		o.recordForwarder(now, e.request.Entry)
	}
	o.scheduler.Enqueue(now, e.request)
	o.recordQueued(&e.request)
}
