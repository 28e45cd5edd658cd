package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// membersEvent applies a new list of the live members of the data centre.
type membersEvent struct{ live []ident.Host }

func (e membersEvent) apply(o *owner, now time.Time) { o.recovery.retain(e.live) }
