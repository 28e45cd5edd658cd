package relay

import (
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/schedule"
)

// Call is one request as a front end accepted it. It does not change.
type Call struct {
	// ID is the caller's name for this try; each try has its own.
	ID       ident.Request
	HostName string
	// RequestURI is the path and the query as the caller sent them, and Path the
	// part before the question mark.
	RequestURI string
	Path       string
	Method     string
	// Header is what the target may see of the caller's header.
	Header http.Header
	Body   []byte
	// Key is the caller's secret; it goes no further.
	Key string

	ArrivalTime time.Time
	// Timeout is how long the caller waits; zero means that it does not tell.
	Timeout time.Duration
	// PromptTokens and MaxOutput are zero if the caller does not tell.
	PromptTokens int
	MaxOutput    int
	// ExpectedOutput is the caller's estimate of the answer's tokens, or zero.
	ExpectedOutput int
	// PromptBlocks is the prompt's composition.
	PromptBlocks []schedule.PromptBlock
	// ResumeAfter is the last event of an earlier answer that the caller has, if
	// Resumes says that it asks for the rest.
	ResumeAfter uint64
	Resumes     bool
}
