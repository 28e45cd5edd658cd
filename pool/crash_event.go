package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/quarantine"
)

// crashEvent applies the crashes that another owner published.
type crashEvent struct{ crashes []quarantine.Crash }

func (e crashEvent) apply(o *owner, now time.Time) { o.scheduler.MergeCrashes(now, e.crashes) }
