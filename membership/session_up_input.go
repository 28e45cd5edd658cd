package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

type sessionUpInput struct{ host ident.Host }

func (in sessionUpInput) apply(t *Tracker, now time.Time) {
	t.membersSentAt[in.host] = now.Add(-maxHelloAge)
}
