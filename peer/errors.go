package peer

import (
	"errors"
	"syscall"

	"github.com/zeebo/errs"
)

var (
	// Error is the class of all errors of this package.
	Error = errs.Class("peer")
	// ErrNoSession means that there is no session to the host.
	ErrNoSession = Error.New("no session")
	// ErrBacklogFull means that the send queue for the host is full, because the host
	// reads too slowly.
	ErrBacklogFull = Error.New("backlog full")

	// ErrFrameMissing is why a session ends in which a frame did not arrive.
	ErrFrameMissing = Error.New("a frame of the session is missing")

	errFrameTooLarge  = Error.New("frame is too large")
	errDuplicate      = Error.New("duplicate connection: another session to the host is kept")
	errSelfConnection = Error.New("connection to this host itself")
	errNameConflict   = Error.New("another process uses this host's name")
	errMemberDead     = Error.New("member was declared dead and its session is idle")
	errStopped        = Error.New("mesh is stopped")
)

// isConnectionRefused reports whether a dial error proves that no process listens at
// the address.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
