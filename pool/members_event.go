package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// membersEvent names the live members of the data centre.
type membersEvent struct{ live []ident.Host }

func (e membersEvent) apply(o *owner, now time.Time) { o.recovery.keep(e.live) }
