package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

// refusalDetails is the response to a request that is refused.
type refusalDetails struct {
	reason     outcome.Reason
	message    string
	retryAfter time.Duration
}
