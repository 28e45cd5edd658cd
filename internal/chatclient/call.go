package chatclient

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Call is a chat completion request.
type Call struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	Tier      ident.Tier
	// Deadline is the deadline relative to the start of the call. Zero means the
	// tier's default.
	Deadline time.Duration
	// Key is the idempotency key. NonIdempotent marks the call as not idempotent.
	Key           string
	NonIdempotent bool
	// OnToken, if set, is called after each token with the number of tokens so far.
	OnToken func(tokens int)
}
