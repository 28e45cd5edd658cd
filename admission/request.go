package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Digest identifies the content of a request; it ties resends of a request that
// crashes targets together.
type Digest uint64

// Request is what the scheduler knows of a request.
type Request struct {
	ID    ident.Request
	Entry ident.Host
	Pool  ident.Pool
	Team  ident.Team
	Tier  ident.Tier
	// Arrived and Deadline are in the owner's clock.
	Arrived  time.Time
	Deadline time.Time
	// PromptTokens is estimated from the body by the entry.
	PromptTokens int
	// MaxTokens is the caller's limit on generated tokens; zero means none.
	MaxTokens int
	// Prefix holds chained hashes of the prompt's leading blocks, shortest
	// prefix first. Blocks have PrefixBlockTokens tokens.
	Prefix        []uint64
	Digest        Digest
	NonIdempotent bool
	// Forwarded says that the request came from another data centre; it is not
	// forwarded again.
	Forwarded bool
	// ExcludedTargets lists targets that could not be dialled for this request.
	ExcludedTargets []ident.Target
}

// PrefixBlockTokens is the length in tokens of one hashed prompt block.
const PrefixBlockTokens = 64
