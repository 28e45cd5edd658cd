package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// loadEvent applies a load report of a target.
type loadEvent struct{ report admission.LoadReport }

func (e loadEvent) apply(o *owner, now time.Time) { o.scheduler.ObserveLoad(now, e.report) }
