package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// sessionUpEvent says that frames may have been lost before.
type sessionUpEvent struct{ host ident.Host }

func (e sessionUpEvent) apply(o *owner, _ time.Time) { o.askReport(e.host) }
