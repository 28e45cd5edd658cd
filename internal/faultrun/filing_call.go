package faultrun

import (
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// filingCall is one attempt to send a filing under an idempotency key.
type filingCall struct {
	key     string
	host    ident.Host
	begun   time.Time
	ended   time.Time
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	body    string
	err     error
}

func (c *filingCall) String() string {
	return fmt.Sprintf("%s through %s at %s: status %d, told %q, reason %q, error %v",
		c.key, c.host, c.begun.Format("15:04:05.000"), c.status, c.outcome, c.reason, c.err)
}
