package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/membership"
)

// Mesh maintains the sessions to the other hosts. It implements Sender, Caller and
// membership.Sender, and is safe for concurrent use.
type Mesh struct {
	options  Options
	self     ident.Host
	tls      *tls.Config
	counters *counters
	handlers handlers
	methods  map[string]Method
	local    chan *peerpb.Frame
	// dialWake wakes the dialler.
	dialWake chan struct{}
	// lastSessionNumber is the number of the last session that this host decided to
	// keep.
	lastSessionNumber atomic.Uint64
	openSessions      atomic.Int64
	dialSlots         chan struct{}
	// connectionTasks tracks the goroutines of dials, handshakes, sessions and calls.
	connectionTasks sync.WaitGroup

	links *linkTable

	listening     chan struct{}
	listenAddress net.Addr
}

// NewMesh returns a mesh that does not listen until Run is called. It fails without a
// key.
func NewMesh(o Options) (*Mesh, error) {
	o.setDefaults()
	credentials, err := newCredentials(o.Keys)
	if err != nil {
		return nil, err
	}
	return &Mesh{
		options:   o,
		self:      o.Members.View().Self.Host,
		tls:       credentials.tlsConfig(),
		counters:  newCounters(o.Scope),
		methods:   make(map[string]Method),
		local:     make(chan *peerpb.Frame, localQueueFrames),
		dialWake:  make(chan struct{}, 1),
		dialSlots: make(chan struct{}, maxDials),
		links:     newLinkTable(),
		listening: make(chan struct{}),
	}, nil
}

// AddHandler registers a handler, which receives every frame. It must be called before
// Run.
func (m *Mesh) AddHandler(h Handler) {
	m.handlers = append(m.handlers, h)
}

// RegisterMethod registers the method that serves unary calls of that name. It must be
// called before Run.
func (m *Mesh) RegisterMethod(name string, method Method) {
	m.methods[name] = method
}

// Run listens, dials and serves until ctx is done, and then returns nil. It returns an
// error if it cannot listen on the address. All its goroutines have ended when it
// returns.
func (m *Mesh) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", m.options.Listen)
	if err != nil {
		return Error.Wrap(err)
	}
	m.listenAddress = listener.Addr()
	close(m.listening)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.accept(ctx, listener) })
	group.Go(func() error { return m.runDialler(ctx) })
	group.Go(func() error { return m.deliverLocal(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return Error.Wrap(listener.Close())
	})
	err = group.Wait()
	m.connectionTasks.Wait()
	return err
}

// Address returns the address that the mesh listens on. It blocks until Run listens or
// ctx is done.
func (m *Mesh) Address(ctx context.Context) (net.Addr, error) {
	select {
	case <-m.listening:
		return m.listenAddress, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Send implements Sender.
func (m *Mesh) Send(to ident.Host, f *peerpb.Frame) error {
	if to == m.self {
		return m.sendLocal(f)
	}
	l, mayDial := m.linkForSend(to)
	if l == nil {
		return ErrNoSession
	}
	s, err := l.push(f, m.options.Clock, mayDial)
	if s != nil && errors.Is(err, ErrBacklogFull) {
		s.close(ErrBacklogFull)
	}
	if s == nil && err == nil {
		m.wakeDialler()
	}
	return err
}

// Connected implements membership.Sender.
func (m *Mesh) Connected() []ident.Host {
	var hosts []ident.Host
	for _, l := range m.links.all() {
		if l.openSession() != nil {
			hosts = append(hosts, l.host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// linkForSend returns the link to a host and whether the host can be dialled. It
// consults the membership view only if no session is open.
func (m *Mesh) linkForSend(host ident.Host) (l *link, mayDial bool) {
	l = m.links.find(host)
	if l != nil && l.openSession() != nil {
		return l, true
	}
	return m.dialableLink(host)
}

// dialableLink returns the link to a host and whether the host can be dialled. The
// link is nil if the host cannot be dialled and has no link yet.
func (m *Mesh) dialableLink(host ident.Host) (l *link, mayDial bool) {
	member, known := m.options.Members.View().Member(host)
	mayDial = known && member.State != membership.Dead && member.PeerAddress != ""
	if mayDial {
		return m.links.findOrCreate(host), true
	}
	return m.links.find(host), false
}

func (m *Mesh) wakeDialler() {
	select {
	case m.dialWake <- struct{}{}:
	default:
	}
}

func (m *Mesh) recordSessionUp(s *session) {
	m.counters.sessions.Update(float64(m.openSessions.Add(1)))
	m.options.Logger.Info().Str("host", string(s.host)).Msg("Session opened.")
}

// SessionEndedMessage is the log message of the end of a session.
const SessionEndedMessage = "Session ended; the dialler reopens it if it is still needed."

func (m *Mesh) recordSessionDown(s *session) {
	m.counters.sessions.Update(float64(m.openSessions.Add(-1)))
	m.options.Logger.Info().Str("host", string(s.host)).
		Dur("age", time.Since(s.opened)).Err(s.cause).Msg(SessionEndedMessage)
	m.wakeDialler()
}
