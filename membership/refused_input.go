package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

type refusedInput struct{ host ident.Host }

func (in refusedInput) apply(t *Tracker, now time.Time) {
	t.detector.handleDialRefused(in.host, now)
}
