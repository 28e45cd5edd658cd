package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// declineEvent gives a grant back unused.
type declineEvent struct{ decline admission.Decline }

func (e declineEvent) apply(o *owner, now time.Time) {
	o.recordReturn(e.decline)
	o.metrics.declined(e.decline.Cause)
	o.scheduler.Decline(now, e.decline)
}
