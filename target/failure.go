package target

import "fmt"

// FailureKind classifies failures of a dispatch.
type FailureKind string

const (
	// FailedDial: the target could not be reached; no byte was sent.
	FailedDial FailureKind = "dial"
	// FailedExpired: the right to begin had expired; no byte was sent.
	FailedExpired FailureKind = "expired"
	// FailedLeaving: the target refused new work and promised, by its
	// X-Target-Leaving header, that it ran nothing.
	FailedLeaving FailureKind = "leaving"
	// FailedIDMismatch: the target answered with the id of another dispatch, or
	// with none.
	FailedIDMismatch FailureKind = "crossed"
	// FailedConnection: the connection broke and the answer could not be continued.
	FailedConnection FailureKind = "died"
	// FailedProtocol: the answer breaks the protocol, skips frames or exceeds a
	// limit.
	FailedProtocol FailureKind = "format"
	// FailedStatus: an engine answered with a server error.
	FailedStatus FailureKind = "status"
)

// Failure is why a dispatch has no whole answer. It implements error.
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

func newFailure(kind FailureKind, err error) *Failure {
	return &Failure{Kind: kind, Err: err}
}
