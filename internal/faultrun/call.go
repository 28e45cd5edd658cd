package faultrun

import (
	"fmt"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/outcome"
)

// engineCall is one call to the engines with what came of it.
type engineCall struct {
	call   chatclient.Call
	host   ident.Host
	begun  time.Time
	ended  time.Time
	answer chatclient.Response
	err    error
}

// told returns the outcome that the caller was told, or "" if it was told none.
func (c *engineCall) told() outcome.Outcome {
	if c.answer.Err != nil {
		return c.answer.Err.Outcome
	}
	return c.answer.Outcome
}

// reason names what came of a call that was not answered whole.
func (c *engineCall) reason() string {
	switch {
	case c.answer.Err != nil:
		return string(c.answer.Err.Code)
	case c.err != nil:
		return "connection lost"
	default:
		return string(c.answer.Reason)
	}
}

// ownContent says whether what arrived is the beginning of the call's own
// answer, and all of it if it was ended as whole.
func (c *engineCall) ownContent() bool {
	want := chatclient.ExpectedContent(c.call.Prompt, c.call.MaxTokens)
	if c.answer.Whole {
		return c.answer.Content == want
	}
	return strings.HasPrefix(want, c.answer.Content)
}

func (c *engineCall) String() string {
	return fmt.Sprintf("%s through %s at %s: status %d, told %q, reason %q, whole %v, %d of %d tokens, error %v",
		c.call.Prompt, c.host, c.begun.Format("15:04:05.000"), c.answer.Status, c.told(), c.reason(),
		c.answer.Whole, c.answer.Tokens, c.call.MaxTokens, c.err)
}

// filingCall is one try to file under an idempotency key.
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
