package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
)

// endEvent records that a request on a target has ended.
type endEvent struct {
	target ident.Target
	end    admission.End
}

func (e endEvent) apply(o *owner, now time.Time) {
	o.recordEnd(e.target, e.end)
	o.scheduler.End(now, e.end)
}
