package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

// acceptRetryDelay is the delay before the next Accept after a failed one, for example
// when the process is out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// accept handles incoming connections until ctx is done. At most maxHandshakes
// handshakes run at once; further connections wait in the listener's queue.
func (m *Mesh) accept(ctx context.Context, listener net.Listener) error {
	slots := make(chan struct{}, maxHandshakes)
	for {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		conn, err := listener.Accept()
		if err != nil {
			<-slots
			if !periodic.Sleep(ctx, acceptRetryDelay) {
				return nil
			}
			continue
		}
		m.connectionTasks.Go(func() { m.serveAccepted(ctx, conn, slots) })
	}
}

func (m *Mesh) serveAccepted(ctx context.Context, conn net.Conn, slots <-chan struct{}) {
	s, err := m.establishAccepted(ctx, conn)
	<-slots
	if err != nil {
		m.recordHandshakeFailure("accepted", conn.RemoteAddr().String(), err)
		return
	}
	s.run(ctx)
}

func (m *Mesh) establishAccepted(ctx context.Context, conn net.Conn) (*session, error) {
	t, err := m.handshakeAccepted(ctx, conn)
	if err != nil {
		return nil, err
	}
	return m.establishSession(t)
}

// recordHandshakeFailure counts and logs a connection attempt that did not become a
// session. Duplicate connections and connections of this host to itself are expected
// and not recorded.
func (m *Mesh) recordHandshakeFailure(side, address string, err error) {
	if errors.Is(err, errDuplicate) || errors.Is(err, errSelfConnection) {
		return
	}
	m.counters.handshakeFailed(side)
	entry := m.options.Logger.Debug()
	if errors.Is(err, errNameConflict) {
		entry = m.options.Logger.Warn()
	}
	entry.Str("side", side).Str("address", address).Err(err).Msg("Connection failed before a session was established; dialled addresses are retried with backoff.")
}
