package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// sessionUpEvent requests a report from a host whose session was established,
// since earlier frames may have been lost.
type sessionUpEvent struct{ host ident.Host }

func (e sessionUpEvent) apply(o *owner, _ time.Time) { o.requestReport(e.host) }
