package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// cancelEvent cancels a queued request.
type cancelEvent struct{ id ident.Request }

func (e cancelEvent) apply(o *owner, now time.Time) { o.scheduler.Cancel(now, e.id) }
