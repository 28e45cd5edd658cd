package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// enqueueEvent is a request that an entry wants to run.
type enqueueEvent struct{ request admission.Request }

func (e enqueueEvent) apply(o *owner, now time.Time) {
	if e.request.Forwarded {
		o.noteForwarder(now, e.request.Entry)
	}
	o.scheduler.Enqueue(now, e.request)
	o.recordQueued(&e.request)
}
