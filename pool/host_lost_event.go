package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// hostLostEvent records that a host failed or restarted.
type hostLostEvent struct{ host ident.Host }

func (e hostLostEvent) apply(o *owner, now time.Time) {
	o.recovery.markReported(e.host)
	o.recordEntryLost(e.host)
	o.scheduler.RemoveEntry(now, e.host)
}
