package relay

import (
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/schedule"
)

// Call is one request as a front end received it. It is immutable.
type Call struct {
	// ID is the caller's ID of this attempt. A retry by the caller has another one.
	ID       ident.Request
	HostName string
	// RequestURI is the path and the query as sent by the caller. Path is the part
	// before the question mark.
	RequestURI string
	Path       string
	Method     string
	// Header holds the caller's header fields that may be forwarded to the target.
	Header http.Header
	Body   []byte
	// PassedOn says that another host has passed the request on to this one.
	PassedOn bool
	// EarlierDispatches is how many targets the request reached at that host.
	EarlierDispatches int
	// Key is the caller's API key. It is not forwarded to the target.
	Key string

	ArrivalTime time.Time
	// Timeout is how long the caller waits, or zero if it does not state this.
	Timeout time.Duration
	// PromptTokens and MaxOutput are zero if the caller does not state them.
	PromptTokens int
	MaxOutput    int
	// ExpectedOutput is the caller's estimate of the output tokens, or zero.
	ExpectedOutput int
	// PromptBlocks are the blocks that the prompt consists of.
	PromptBlocks []schedule.PromptBlock
	// ResumeAfter is the ID of the last event that the caller received of an earlier
	// response. It is valid if Resumes is set: the caller asks for the remainder.
	ResumeAfter uint64
	Resumes     bool
	// FirstAttempt is the ID of the caller's attempt that brought the first event of the
	// stream to be resumed, or empty if the caller does not name it.
	FirstAttempt ident.Request
}

// promptParts identifies the blocks of the prompt.
func (c *Call) promptParts() []quarantine.Digest {
	parts := make([]quarantine.Digest, 0, len(c.PromptBlocks))
	for _, block := range c.PromptBlocks {
		parts = append(parts, quarantine.Digest(block.Hash))
	}
	return parts
}
