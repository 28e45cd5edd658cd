package membership

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// Sender is the part of the mesh that the Tracker uses.
type Sender interface {
	// Send queues a frame and does not block.
	Send(to ident.Host, f *peerpb.Frame) error
	// Connected lists the hosts with an open session. It excludes this host.
	Connected() []ident.Host
}
