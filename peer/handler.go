package peer

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// Handler takes what arrives from other hosts. Calls for one host come one
// after another; they must not block. A frame is shared by all handlers, which
// must not change it.
type Handler interface {
	// HandleFrame takes one frame.
	HandleFrame(from ident.Host, f *peerpb.Frame)
	// SessionUp says that frames can be exchanged with the host.
	SessionUp(host ident.Host)
	// SessionDown says that frames may have been lost in both directions. It
	// also comes without a SessionUp before it, when frames were queued for a
	// host that could not be reached.
	SessionDown(host ident.Host)
}

// HelloHandler is a Handler that also takes the greeting of each session,
// before SessionUp.
type HelloHandler interface {
	HandleHello(from ident.Host, h *peerpb.Hello)
}

// DialObserver is a Handler that also learns of refused connections. DialRefused
// comes from the dialling goroutine, beside the calls for sessions.
type DialObserver interface {
	// DialRefused says that no process listens at the host's peer address.
	DialRefused(host ident.Host)
}
