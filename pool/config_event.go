package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// configEvent applies a new scheduler configuration, after a change of the pool's
// settings, targets or members.
type configEvent struct{ config admission.Config }

func (e configEvent) apply(o *owner, now time.Time) {
	o.recordDraining(e.config)
	o.configure(now, e.config)
}
