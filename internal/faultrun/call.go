package faultrun

import (
	"fmt"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/outcome"
)

// engineCall is one call to the engines with its response.
type engineCall struct {
	call     chatclient.Call
	host     ident.Host
	started  time.Time
	finished time.Time
	answer   chatclient.Response
	err      error
}

// reportedOutcome returns the outcome that the caller received, or "" if it received
// none.
func (c *engineCall) reportedOutcome() outcome.Outcome {
	if c.answer.Err != nil {
		return c.answer.Err.Outcome
	}
	return c.answer.Outcome
}

// reason returns why a call did not receive a complete response.
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

// contentMatches reports whether the content is a prefix of the response expected for
// this call, and equal to it if the response was marked complete.
func (c *engineCall) contentMatches() bool {
	want := chatclient.ExpectedContent(c.call.Prompt, c.call.MaxTokens)
	if c.answer.Whole {
		return c.answer.Content == want
	}
	return strings.HasPrefix(want, c.answer.Content)
}

func (c *engineCall) String() string {
	return fmt.Sprintf("%s through %s at %s: status %d, told %q, reason %q, whole %v, %d of %d tokens, error %v",
		c.call.Prompt, c.host, c.started.Format("15:04:05.000"), c.answer.Status, c.reportedOutcome(), c.reason(),
		c.answer.Whole, c.answer.Tokens, c.call.MaxTokens, c.err)
}

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
