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
