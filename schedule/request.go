package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Request is what the scheduler knows of a request.
type Request struct {
	ID   ident.Request
	Pool ident.Pool
	Team ident.Team
	Rank Rank
	// Arrived is when the request reached this host.
	Arrived time.Time
	// Objective is when its answer, or its first event, stops being on time.
	Objective time.Time
	// Deadline is when its caller stops waiting.
	Deadline time.Time
	// AbandonTime is when its caller probably leaves if nothing has arrived until then;
	// it is not after Deadline.
	AbandonTime time.Time
	// PromptTokens and OutputTokens are zero for plain services; OutputTokens is
	// an estimate.
	PromptTokens int
	OutputTokens int
	// PromptBlocks is the prompt's composition, first part first.
	PromptBlocks []PromptBlock
	// Retryable says that it may go on at another target if this one fails.
	Retryable bool
	// ExcludedTargets lists targets that already failed this request.
	ExcludedTargets []ident.Target
}
