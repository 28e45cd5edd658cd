package peer

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// Handler receives frames and session changes from other hosts. Calls for one host are
// sequential and must not block. A frame is shared by all handlers, which must not
// modify it.
type Handler interface {
	// HandleFrame processes one frame.
	HandleFrame(from ident.Host, f *peerpb.Frame)
	// SessionUp reports that frames can be exchanged with the host.
	SessionUp(host ident.Host)
	// SessionDown reports that frames may have been lost in both directions. It is
	// also called without a preceding SessionUp if frames were queued for a host that
	// could not be reached.
	SessionDown(host ident.Host)
}

// HelloHandler is a Handler that also receives the Hello message of each session,
// before SessionUp.
type HelloHandler interface {
	HandleHello(from ident.Host, h *peerpb.Hello)
}

// DialObserver is a Handler that is also notified of refused connections. DialRefused
// is called by the dialling goroutine, concurrently with the session calls.
type DialObserver interface {
	// DialRefused reports that no process listens at the host's peer address.
	DialRefused(host ident.Host)
}
