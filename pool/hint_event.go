package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// hintEvent is what the owner in another data centre told about its part.
type hintEvent struct{ hint admission.PoolHint }

func (e hintEvent) apply(o *owner, now time.Time) { o.scheduler.UpdatePoolHint(now, e.hint) }
