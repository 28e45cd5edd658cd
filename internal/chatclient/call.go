package chatclient

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Call is one chat completion that a caller asks for.
type Call struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	Tier      ident.Tier
	// Deadline is the time that the caller gives; zero means the tier's.
	Deadline time.Duration
	// Key is the idempotency key; NonIdempotent marks the call.
	Key           string
	NonIdempotent bool
	// OnToken, if set, is called after each token with the tokens so far.
	OnToken func(tokens int)
}
