package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Digest identifies the content of a request, so that a request that crashes
// targets is recognised when it is sent again.
type Digest uint64

// Request describes a request to the scheduler.
type Request struct {
	ID    ident.Request
	Entry ident.Host
	Pool  ident.Pool
	Team  ident.Team
	Tier  ident.Tier
	// Arrived and Deadline are in the pool owner's clock.
	Arrived  time.Time
	Deadline time.Time
	// PromptTokens is the entry's estimate from the request body.
	PromptTokens int
	// MaxTokens is the caller's limit on generated tokens, or zero.
	MaxTokens int
	// Prefix holds chained hashes of the prompt's leading blocks of
	// PrefixBlockTokens tokens, shortest prefix first.
	Prefix        []uint64
	Digest        Digest
	NonIdempotent bool
	// Forwarded says that the request came from another data centre. It is not
	// forwarded again.
	Forwarded bool
	// ExcludedTargets lists targets that could not be dialled for this request.
	ExcludedTargets []ident.Target
}

// PrefixBlockTokens is the number of tokens in one hashed prompt block.
const PrefixBlockTokens = 64
