package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/quarantine"
)

// suspectsEvent sets the contents that the platform's table lists as on trial.
type suspectsEvent struct{ digests []quarantine.Digest }

func (e suspectsEvent) apply(o *owner, _ time.Time) { o.crashes.SetSuspects(e.digests) }
