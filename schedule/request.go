package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/rollout"
)

// Request describes a request to the scheduler.
type Request struct {
	ID   ident.Request
	Pool ident.Pool
	Team ident.Team
	// Content identifies what the request consists of.
	Content quarantine.Content
	Rank    Rank
	// Arrived is when the request reached this host.
	Arrived time.Time
	// Objective is the time by which the response, or its first event, is on time.
	Objective time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// AbandonTime is when the caller is expected to disconnect if nothing has
	// arrived by then; it is not after Deadline.
	AbandonTime time.Time
	// PromptTokens and OutputTokens are zero for plain services; OutputTokens is an
	// estimate.
	PromptTokens int
	OutputTokens int
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// PromptBlocks lists the blocks of the prompt in order.
	PromptBlocks []PromptBlock
	// Retryable says that the request may be retried on another target if this one
	// fails.
	Retryable bool
	// Resumable says that the caller may take the response up at another host, if it is
	// certain which software version began it.
	Resumable bool
	// Repeat says that a target has got the request before. Targets that state limits get no
	// such requests.
	Repeat bool
	// RequiresVersion says that only targets of the software version Version may serve
	// the request.
	RequiresVersion bool
	Version         string
	// MayPassOn says that another host may serve the request.
	MayPassOn bool
	// ExcludedTargets lists the targets that have already failed this request.
	ExcludedTargets []ident.Target
	// Route names the route, for the evidence about software versions.
	Route string

	// pool and side are set when the request is queued. side says which targets may serve it
	// while a rollout is in progress.
	pool *pool
	side rollout.Side
	// prefixes holds the beginnings of the prompt once promptPrefixes was called.
	prefixes []promptPrefix
}
