package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// hintEvent applies a load hint from the pool's owner in another data centre.
type hintEvent struct{ hint admission.PoolHint }

func (e hintEvent) apply(o *owner, now time.Time) { o.scheduler.UpdatePoolHint(now, e.hint) }
