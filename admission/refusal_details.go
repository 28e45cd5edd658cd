package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

// refusalText is what a caller is told if nobody takes its request.
type refusalDetails struct {
	reason     outcome.Reason
	message    string
	retryAfter time.Duration
}
