package peer

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// Sender sends frames to other hosts.
type Sender interface {
	// Send queues f for the host to and does not block. It returns ErrNoSession
	// if there is no session to it, and ErrBacklogFull if its queue is full; the
	// session is then closed. Frames to the own host are delivered locally.
	Send(to ident.Host, f *peerpb.Frame) error
}
