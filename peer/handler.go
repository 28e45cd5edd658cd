package peer

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// Handler takes what arrives from other hosts. Calls for one host come one
// after another; they must not block.
type Handler interface {
	// HandleFrame takes one frame.
	HandleFrame(from ident.Host, f *peerpb.Frame)
	// SessionUp says that frames can be exchanged with the host.
	SessionUp(host ident.Host)
	// SessionDown says that frames may have been lost in both directions.
	SessionDown(host ident.Host)
}
