package peer

import (
	"errors"
	"syscall"

	"github.com/zeebo/errs"
)

var (
	// Error is the class of all errors of this package.
	Error = errs.Class("peer")
	// ErrNoSession says that there is no session to the host.
	ErrNoSession = Error.New("no session")
	// ErrBacklogFull says that the host takes frames too slowly.
	ErrBacklogFull = Error.New("backlog full")

	errDuplicate      = Error.New("another session is kept")
	errSelfConnection = Error.New("the connection leads to this host itself")
	errNameConflict   = Error.New("another process has this host's name")
	errMemberDead     = Error.New("the member is dead")
	errStopped        = Error.New("the mesh is stopped")
)

// refused tells whether a dial error proves that no process listens there.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
