package target

import (
	"errors"
	"fmt"
	"io"
)

// FailureKind classifies the failures of a dispatch.
type FailureKind string

const (
	// FailedDial: the target could not be reached, or the dispatch was cancelled
	// first; no byte was sent.
	FailedDial FailureKind = "dial"
	// FailedExpired: the time limit for starting the dispatch had passed; no byte
	// was sent.
	FailedExpired FailureKind = "expired"
	// FailedDraining: the target is draining and refused the request. Its
	// X-Target-Leaving header guarantees that it did not run the request.
	FailedDraining FailureKind = "leaving"
	// FailedIDMismatch: the response carries the ID of another dispatch, or none.
	FailedIDMismatch FailureKind = "crossed"
	// FailedConnection: the connection broke and the response could not be resumed.
	FailedConnection FailureKind = "died"
	// FailedProtocol: the response violates the protocol, has missing events or
	// exceeds a size limit.
	FailedProtocol FailureKind = "format"
	// FailedStatus: an engine responded with a server error status.
	FailedStatus FailureKind = "status"
)

// Failure says why a dispatch has no complete response. It implements error.
type Failure struct {
	Kind FailureKind
	Err  error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("target failed (%s): %v", f.Kind, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// newFailure returns a Failure with a cause, which is never io.EOF: that is the end of a complete
// response.
func newFailure(kind FailureKind, err error) *Failure {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &Failure{Kind: kind, Err: err}
}
