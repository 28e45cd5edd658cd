package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// configEvent is a change of the pool's settings, targets or members.
type configEvent struct{ config admission.Config }

func (e configEvent) apply(o *owner, now time.Time) {
	o.recordLeaving(e.config)
	o.configure(now, e.config)
}
