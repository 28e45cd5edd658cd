package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// hostLostEvent says that a host was declared dead.
type hostLostEvent struct{ host ident.Host }

func (e hostLostEvent) apply(o *owner, now time.Time) {
	o.recovery.heard(e.host)
	o.recordEntryLost(e.host)
	o.scheduler.RemoveEntry(now, e.host)
}
