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
	// Send returns the checked head of the target's answer. The error is a
	// *Failure.
	Send(ctx context.Context, d Dispatch) (*Response, error)
}

// Dispatch is one request on its way to one target.
type Dispatch struct {
	Call   *Call
	Target route.Target
	Team   ident.Team
	// Timeout is the time that the target has.
	Timeout time.Duration
	// ResumeAfter is the last event that the caller has, if Resumes says that the
	// target is asked for the rest.
	ResumeAfter uint64
	Resumes     bool
	Latch       *target.Latch
}

// Response is a target's answer whose head has arrived.
type Response struct {
	Status int
	// Header is what the caller may see.
	Header http.Header
	// Length is the body's, or -1 if it is not known.
	Length int64
	// Stream says that the body is server-sent events.
	Stream bool
	// Load is the number of requests that the target had then, or -1 if it does
	// not tell.
	Load int
	// Body ends with io.EOF only if it is whole.
	Body io.ReadCloser
}

// DispatchError is why a dispatch has no answer. It implements error.
type DispatchError struct {
	Result schedule.Result
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// Sent says that the request reached a target.
	Sent bool
	Err  error
}

// Error implements error.
func (f *DispatchError) Error() string { return f.Result.String() + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *DispatchError) Unwrap() error { return f.Err }
