package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// loadEvent is what a target told about its load.
type loadEvent struct{ report admission.LoadReport }

func (e loadEvent) apply(o *owner, now time.Time) { o.scheduler.ObserveLoad(now, e.report) }
