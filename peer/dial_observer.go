package peer

import "github.com/cornelyard/cornelyard/ident"

// DialObserver is a Handler that is also notified of refused connections. DialRefused
// is called by the dialling goroutine, concurrently with the session calls.
type DialObserver interface {
	// DialRefused reports that no process listens at the host's peer address.
	DialRefused(host ident.Host)
}
