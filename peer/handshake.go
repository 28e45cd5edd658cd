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

// greeted is a connection after the exchange of greetings.
type greeted struct {
	// began is when the connection was dialled or accepted.
	began  time.Time
	conn   net.Conn
	mux    *yamux.Session
	stream *yamux.Stream
	reader *bufio.Reader
	hello  *peerpb.Hello
}

func (g *greeted) host() ident.Host { return ident.Host(g.hello.GetSelf().GetHost()) }

func (g *greeted) close() {
	_ = g.mux.Close()
	_ = g.conn.Close()
}

// greetDialled does the dialling side's handshake up to the greetings.
func (m *Mesh) greetDialled(ctx context.Context, raw net.Conn, began time.Time) (*greeted, error) {
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
	conn := tls.Client(m.counters.counted(raw), m.tls)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, Error.Wrap(err)
	}
	mux, err := yamux.Client(joinHeaders(conn, raw), muxConfig())
	if err != nil {
		_ = raw.Close()
		return nil, Error.Wrap(err)
	}
	g := &greeted{began: began, conn: raw, mux: mux}
	if err := m.exchange(g, mux.OpenStream); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

// greetAccepted does the accepting side's handshake up to the greetings.
func (m *Mesh) greetAccepted(ctx context.Context, raw net.Conn) (*greeted, error) {
	began := time.Now()
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
	conn := tls.Server(m.counters.counted(raw), m.tls)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, Error.Wrap(err)
	}
	mux, err := yamux.Server(joinHeaders(conn, raw), muxConfig())
	if err != nil {
		_ = raw.Close()
		return nil, Error.Wrap(err)
	}
	g := &greeted{began: began, conn: raw, mux: mux}
	if err := m.exchange(g, mux.AcceptStream); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

// exchange sends and receives the greetings on the frame stream.
func (m *Mesh) exchange(g *greeted, open func() (*yamux.Stream, error)) error {
	stream, err := open()
	if err != nil {
		return Error.Wrap(err)
	}
	g.stream = stream
	g.reader = bufio.NewReader(stream)
	if err := writeMessage(stream, m.options.Members.View().Hello()); err != nil {
		return err
	}
	g.hello = &peerpb.Hello{}
	if err := readMessage(g.reader, maxHelloBytes, g.hello); err != nil {
		return Error.Wrap(err)
	}
	return m.checkGreeting(g.hello.GetSelf())
}

func (m *Mesh) checkGreeting(other *peerpb.Member) error {
	if other.GetHost() == "" {
		return Error.New("a greeting without a name")
	}
	if ident.Host(other.GetHost()) != m.self {
		return nil
	}
	if other.GetIncarnation() == m.options.Members.View().Self.Incarnation {
		return errSelf
	}
	return errNameTaken
}

// settle lets the host with the smaller name decide whether the connection is
// kept, so that both sides keep the same one, and returns the session. Otherwise
// it closes the connection.
func (m *Mesh) settle(g *greeted) (*session, error) {
	s := newSession(m, g)
	decide := m.follow
	if m.self < s.host {
		decide = m.admit
	}
	if err := decide(s); err != nil {
		s.close(err)
		return nil, err
	}
	if err := g.conn.SetDeadline(time.Time{}); err != nil {
		s.close(Error.Wrap(err))
	}
	return s, nil
}

// admit decides for both sides, and says so if the connection is kept.
func (m *Mesh) admit(s *session) error {
	if err := m.link(s.host).admit(s, m.sessions.Add(1)); err != nil {
		return err
	}
	if err := writeMessage(s.stream, &peerpb.Welcome{Session: s.number}); err != nil {
		s.close(err)
	}
	return nil
}

// follow waits for the other side's decision.
func (m *Mesh) follow(s *session) error {
	welcome := &peerpb.Welcome{}
	if err := readMessage(s.reader, maxHelloBytes, welcome); err != nil {
		return errDuplicate
	}
	s.number = welcome.GetSession()
	return m.link(s.host).follow(s)
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// Heartbeats take the place of keepalives.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = handshakeTimeout
	c.StreamCloseTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}
