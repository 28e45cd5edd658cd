package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// strikeEvent applies the strikes that another owner published.
type strikeEvent struct{ strikes []admission.StrikeRecord }

func (e strikeEvent) apply(o *owner, now time.Time) {
	for _, s := range e.strikes {
		o.scheduler.MergeStrikes(now, s.Digest, s.Count, s.Expiry)
	}
}
