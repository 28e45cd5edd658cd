package peer

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// Sender sends frames to other hosts.
type Sender interface {
	// Send queues f for the host and does not block. It returns ErrNoSession if the
	// host has no session, and ErrBacklogFull if the host's queue is full, in which
	// case the session is closed. Frames to this host itself are delivered locally.
	Send(to ident.Host, f *peerpb.Frame) error
}
