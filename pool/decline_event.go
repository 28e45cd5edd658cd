package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// declineEvent returns the slot of a grant that was not used.
type declineEvent struct{ decline admission.Decline }

func (e declineEvent) apply(o *owner, now time.Time) {
	o.recordDecline(e.decline)
	o.metrics.declined(e.decline.Cause)
	o.scheduler.Decline(now, e.decline)
}
