package peer

import "github.com/zeebo/errs"

var (
	// Error is the class of all errors of this package.
	Error = errs.Class("peer")
	// ErrNoSession says that there is no session to the host.
	ErrNoSession = Error.New("no session")
	// ErrBacklog says that the host takes frames too slowly.
	ErrBacklog = Error.New("backlog full")
)
