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
	response chatclient.Response
	err      error
}

// reportedOutcome returns the outcome that the caller received, or "" if it received
// none.
func (c *engineCall) reportedOutcome() outcome.Outcome {
	if c.response.Err != nil {
		return c.response.Err.Outcome
	}
	return c.response.Outcome
}

// reason returns why a call did not receive a complete response.
func (c *engineCall) reason() string {
	switch {
	case c.response.Err != nil:
		return string(c.response.Err.Code)
	case c.err != nil:
		return "connection lost"
	default:
		return string(c.response.Reason)
	}
}

// contentMatches reports whether the content is a prefix of the response expected for
// this call, and equal to it if the response was marked complete.
func (c *engineCall) contentMatches() bool {
	want := chatclient.ExpectedContent(c.call.Prompt, c.call.MaxTokens)
	if c.response.Whole {
		return c.response.Content == want
	}
	return strings.HasPrefix(want, c.response.Content)
}

func (c *engineCall) String() string {
	return fmt.Sprintf("%s through %s at %s: status %d, told %q, reason %q, whole %v, %d of %d tokens, error %v",
		c.call.Prompt, c.host, c.started.Format("15:04:05.000"), c.response.Status, c.reportedOutcome(), c.reason(),
		c.response.Whole, c.response.Tokens, c.call.MaxTokens, c.err)
}
