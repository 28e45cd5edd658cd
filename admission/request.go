package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
)

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
	Prefix []uint64
	// Content identifies what the request consists of.
	Content       quarantine.Content
	NonIdempotent bool
	// Forwarded says that the request came from another data centre. It is not
	// forwarded again.
	Forwarded bool
	// ExcludedTargets lists targets that could not be dialled for this request.
	ExcludedTargets []ident.Target
}

// PrefixBlockTokens is the number of tokens in one hashed prompt block.
const PrefixBlockTokens = 64
