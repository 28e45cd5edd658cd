package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/target"
)

// TargetClient sends requests to targets.
type TargetClient interface {
	// Send returns the target's response once its head has arrived and was
	// validated. The error is a *DispatchError.
	Send(ctx context.Context, d Dispatch) (*Response, error)
	// Probe opens a connection to the target, sends nothing and closes it. It returns
	// within a fraction of a second.
	Probe(ctx context.Context, t route.Target) target.ProbeResult
}

// Dispatch is one attempt to send a request to a target.
type Dispatch struct {
	Call   *Call
	Target route.Target
	Team   ident.Team
	// Timeout is the time left for the target to respond.
	Timeout time.Duration
	// ResumeAfter is the ID of the last event that the caller received. It is valid if
	// Resumes is set: the target is asked for the remainder of the stream.
	ResumeAfter uint64
	Resumes     bool
	Latch       *target.SendLatch
	// EarlierDispatches is how many targets the request has reached, if it is passed on.
	EarlierDispatches int
	// TableVersion is the version of the configuration that was applied, if it is passed on. A host
	// with an older one must not serve the request.
	TableVersion uint64
	// continues says that events of the response follow those of an earlier one in one response
	// to the caller.
	continues bool
}

// Response is a target's response whose head has arrived.
type Response struct {
	Status int
	// Header holds the header fields that may be forwarded to the caller.
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// NotRun says that the status states that the request has not run.
	NotRun bool
	// Unframed says that the body has neither a length nor chunks and ends with its
	// connection.
	Unframed bool
	// Stream reports whether the body consists of server-sent events.
	Stream bool
	// Load is what the target reported of its load and its machine with the response.
	Load schedule.InstanceLoad
	// Statements is what the response says about the target.
	Statements Statements
	// Body ends with io.EOF only if it is complete, or Unframed is set.
	Body io.ReadCloser
}

// DispatchError says why a dispatch failed. It implements error.
type DispatchError struct {
	Result schedule.Result
	// NotRun reports that the target did not run the request and never will.
	NotRun bool
	// Sent reports that the request reached a target.
	Sent bool
	// Statements is what the response, if there was one, says about the target.
	Statements Statements
	Err        error
}

// Error implements error.
func (e *DispatchError) Error() string { return e.Result.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DispatchError) Unwrap() error { return e.Err }
