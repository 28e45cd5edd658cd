package storage

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

var (
	// Error is the class of all errors of the platform's services.
	Error = errs.Class("platform")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = Error.New("not found")
	// ErrUnavailable means that the call did not take effect.
	ErrUnavailable = Error.New("unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = Error.New("write may or may not have taken effect")
)

// ConflictError reports the failed checks of a transaction.
type ConflictError struct {
	// Rows holds the current rows of the failed checks. An absent row has revision
	// zero.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.Rows))
	for _, row := range e.Rows {
		keys = append(keys, row.Key)
	}
	return fmt.Sprintf("platform: transaction conflicts on %s", strings.Join(keys, ", "))
}
