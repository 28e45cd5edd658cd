package peer

import (
	"context"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// sendLocal queues a frame from this host to itself.
func (m *Mesh) sendLocal(f *peerpb.Frame) error {
	select {
	case m.local <- f:
		return nil
	default:
		m.counters.backlogsFull.Inc(1)
		return ErrBacklogFull
	}
}

// deliverLocal passes the frames queued by sendLocal to the handlers, in order.
func (m *Mesh) deliverLocal(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-m.local:
			m.handlers.handleFrame(m.self, f)
		}
	}
}
