package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// transport is a connection on which the Hello messages have been exchanged.
type transport struct {
	// startTime is when the dial started or the connection was accepted.
	startTime time.Time
	conn      net.Conn
	mux       *yamux.Session
	stream    *yamux.Stream
	reader    *bufio.Reader
	hello     *peerpb.Hello
}

func (t *transport) host() ident.Host { return ident.Host(t.hello.GetSelf().GetHost()) }

func (t *transport) close() {
	_ = t.mux.Close()
	_ = t.conn.Close()
}

// handshakeDialled performs the handshake of a dialled connection, up to the exchange
// of Hello messages.
func (m *Mesh) handshakeDialled(ctx context.Context, raw net.Conn, startTime time.Time) (*transport, error) {
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
	conn := tls.Client(m.counters.countWrites(raw), m.tls)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, Error.Wrap(err)
	}
	mux, err := yamux.Client(coalesceHeaders(conn, raw), muxConfig())
	if err != nil {
		_ = raw.Close()
		return nil, Error.Wrap(err)
	}
	t := &transport{startTime: startTime, conn: raw, mux: mux}
	if err := m.exchangeHello(t, mux.OpenStream); err != nil {
		t.close()
		return nil, err
	}
	return t, nil
}

// handshakeAccepted performs the handshake of an accepted connection, up to the
// exchange of Hello messages.
func (m *Mesh) handshakeAccepted(ctx context.Context, raw net.Conn) (*transport, error) {
	startTime := time.Now()
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
	conn := tls.Server(m.counters.countWrites(raw), m.tls)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, Error.Wrap(err)
	}
	mux, err := yamux.Server(coalesceHeaders(conn, raw), muxConfig())
	if err != nil {
		_ = raw.Close()
		return nil, Error.Wrap(err)
	}
	t := &transport{startTime: startTime, conn: raw, mux: mux}
	if err := m.exchangeHello(t, mux.AcceptStream); err != nil {
		t.close()
		return nil, err
	}
	return t, nil
}

// exchangeHello sends and receives the Hello messages on the frame stream.
func (m *Mesh) exchangeHello(t *transport, open func() (*yamux.Stream, error)) error {
	stream, err := open()
	if err != nil {
		return Error.Wrap(err)
	}
	t.stream = stream
	t.reader = bufio.NewReader(stream)
	if err := writeMessage(stream, m.options.Members.View().Hello()); err != nil {
		return err
	}
	t.hello = &peerpb.Hello{}
	if err := readMessage(t.reader, maxHandshakeMessageBytes, t.hello); err != nil {
		return Error.Wrap(err)
	}
	return m.checkHello(t.hello.GetSelf())
}

func (m *Mesh) checkHello(remote *peerpb.Member) error {
	if remote.GetHost() == "" {
		return Error.New("Hello message has no host name")
	}
	if ident.Host(remote.GetHost()) != m.self {
		return nil
	}
	if remote.GetIncarnation() == m.options.Members.View().Self.Incarnation {
		return errSelfConnection
	}
	return errNameConflict
}

// establishSession returns the session of a new connection, or closes the connection
// if it is a duplicate. The host with the smaller name decides which connection is
// kept, so that both sides keep the same one.
func (m *Mesh) establishSession(t *transport) (*session, error) {
	s := newSession(m, t)
	decide := m.awaitDecision
	if m.self < s.host {
		decide = m.decideSession
	}
	if err := decide(s); err != nil {
		s.close(err)
		return nil, err
	}
	if err := t.conn.SetDeadline(time.Time{}); err != nil {
		s.close(Error.Wrap(err))
	}
	return s, nil
}

// decideSession decides for both hosts whether the connection is kept, and notifies
// the remote host if it is.
func (m *Mesh) decideSession(s *session) error {
	if err := m.links.findOrCreate(s.host).decide(s, m.lastSessionNumber.Add(1)); err != nil {
		return err
	}
	if err := writeMessage(s.stream, &peerpb.Welcome{Session: s.number}); err != nil {
		s.close(err)
	}
	return nil
}

// awaitDecision waits for the remote host's decision. A connection that is closed
// instead was a duplicate.
func (m *Mesh) awaitDecision(s *session) error {
	welcome := &peerpb.Welcome{}
	if err := readMessage(s.reader, maxHandshakeMessageBytes, welcome); err != nil {
		return errDuplicate
	}
	s.number = welcome.GetSession()
	return m.links.findOrCreate(s.host).applyDecision(s)
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// Heartbeats make keepalives unnecessary.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = handshakeTimeout
	c.StreamCloseTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}
