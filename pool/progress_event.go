package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
)

// progressEvent applies an entry's progress reports on running requests.
type progressEvent struct{ items []admission.Progress }

func (e progressEvent) apply(o *owner, now time.Time) {
	for _, p := range e.items {
		o.scheduler.Progress(now, p)
	}
}
