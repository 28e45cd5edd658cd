package membership

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// Sender is what the Tracker needs of the mesh.
type Sender interface {
	// Send queues a frame and does not block.
	Send(to ident.Host, f *peerpb.Frame) error
	// Connected lists the hosts with an open session, the own one not included.
	Connected() []ident.Host
}
