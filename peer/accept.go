package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

// acceptPause is the wait after a failure to accept, such as a lack of file
// descriptors.
const acceptPause = 50 * time.Millisecond

// accept takes incoming connections. While too many handshakes are in progress,
// more wait in the listener's queue.
func (m *Mesh) accept(ctx context.Context, listener net.Listener) error {
	slots := make(chan struct{}, maxHandshakes)
	for {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		raw, err := listener.Accept()
		if err != nil {
			<-slots
			if !periodic.Pause(ctx, acceptPause) {
				return nil
			}
			continue
		}
		m.connections.Go(func() { m.serveAccepted(ctx, raw, slots) })
	}
}

func (m *Mesh) serveAccepted(ctx context.Context, raw net.Conn, slots <-chan struct{}) {
	s, err := m.openAccepted(ctx, raw)
	<-slots
	if err != nil {
		m.noteFailed("accepted", raw.RemoteAddr().String(), err)
		return
	}
	s.run(ctx)
}

func (m *Mesh) openAccepted(ctx context.Context, raw net.Conn) (*session, error) {
	g, err := m.greetAccepted(ctx, raw)
	if err != nil {
		return nil, err
	}
	return m.settle(g)
}

// noteFailed counts and logs a connection that became no session.
func (m *Mesh) noteFailed(side, address string, err error) {
	if errors.Is(err, errDuplicate) || errors.Is(err, errSelf) {
		return
	}
	m.counters.handshakeFailed(side)
	entry := m.options.Logger.Debug()
	if errors.Is(err, errNameTaken) {
		entry = m.options.Logger.Warn()
	}
	entry.Str("side", side).Str("address", address).Err(err).Msg("Connection became no session.")
}
