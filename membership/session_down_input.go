package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

type sessionDownInput struct{ host ident.Host }

func (in sessionDownInput) apply(t *Tracker, _ time.Time) {
	delete(t.membersSentAt, in.host)
	t.detector.handleSessionClosed(in.host)
}
