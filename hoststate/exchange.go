package hoststate

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

const (
	// heartbeat is the longest time between two messages to a near host.
	heartbeat = 100 * time.Millisecond
	// minInterval bounds how often changes are told, and intervalPerHost does so by
	// the number of near hosts, all of which have to take them in.
	minInterval     = 4 * time.Millisecond
	intervalPerHost = time.Millisecond
	// sumInterval is the time between two sums that a far host is sent by one host.
	sumInterval = 100 * time.Millisecond
	// nearHosts is the number of hosts up to which all are near; beyond that only
	// those of the own data centre are.
	nearHosts = 16
	// maxDatagram bounds a message.
	maxDatagram = 16 << 10
)

// Options configures an Exchange. All fields are required.
type Options struct {
	Self        Member
	Incarnation uint64
	// LocalState returns this host's present state.
	LocalState func(now time.Time) Message
	// AggregateState returns the sum of the states of this host and the near ones.
	AggregateState func(now time.Time) Message
	// OnMessage is called for each new message of another host.
	OnMessage   func(now time.Time, m Message)
	Logger *log.Logger
}

// Exchange sends and receives the hosts' states.
type Exchange struct {
	options   Options
	group     atomic.Pointer[PeerSet]
	directory atomic.Pointer[NameIndex]
	changed   chan struct{}
	sequence  uint64
	sumSent   time.Time
}

// New returns an exchange without members; Run makes it work.
func New(o Options) *Exchange {
	e := &Exchange{options: o, changed: make(chan struct{}, 1)}
	e.group.Store(&PeerSet{})
	e.directory.Store(NewNameIndex(nil, nil))
	return e
}

// SetPeers tells which other hosts there are.
func (e *Exchange) SetPeers(g *PeerSet) { e.group.Store(g) }

// SetNameIndex tells the names that messages may speak of.
func (e *Exchange) SetNameIndex(d *NameIndex) { e.directory.Store(d) }

// TriggerSend has the state told soon. It does not block.
func (e *Exchange) TriggerSend() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	address, err := netip.ParseAddrPort(e.options.Self.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go e.send(ctx, conn)
	return e.receive(ctx, conn)
}

// receive takes in messages until the connection is closed.
func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	book := newSenderBook()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// Such as an ICMP answer of a host that is gone.
			e.options.Logger.Debug().Err(err).Msg("Receiving a state failed.")
			continue
		}
		e.take(book, buffer[:n])
	}
}

func (e *Exchange) take(book *senderBook, data []byte) {
	state := &hostpb.HostState{}
	if err := proto.Unmarshal(data, state); err != nil {
		e.options.Logger.Warn().Err(err).Msg("A datagram was no state.")
		return
	}
	now := time.Now()
	host := ident.Host(state.GetHost())
	if host == e.options.Self.Host || !book.admit(now, host, state.GetIncarnation(), state.GetSequence()) {
		return
	}
	e.options.OnMessage(now, e.directory.Load().decode(state))
}

// send tells the state after changes and at each heartbeat, until ctx ends.
func (e *Exchange) send(ctx context.Context, conn *net.UDPConn) {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.changed:
		}
		g := e.group.Load()
		e.tell(conn, g, time.Now())
		periodic.Pause(ctx, max(minInterval, time.Duration(len(g.near))*intervalPerHost))
		timer.Reset(heartbeat)
	}
}

// tell sends the state to the near hosts, and at times what the far ones need.
func (e *Exchange) tell(conn *net.UDPConn, g *PeerSet, now time.Time) {
	message := e.options.LocalState(now)
	e.broadcast(conn, &message, g.near)
	if len(g.partners) > 0 && now.Sub(e.sumSent) >= sumInterval {
		e.sumSent = now
		sum := e.options.AggregateState(now)
		e.broadcast(conn, &sum, g.partners)
	}
}

func (e *Exchange) broadcast(conn *net.UDPConn, m *Message, to []Member) {
	if len(to) == 0 {
		return
	}
	e.sequence++
	data, err := encode(m, e.options.Incarnation, e.sequence)
	if err != nil {
		e.options.Logger.Error().Err(err).Msg("The state could not be encoded.")
		return
	}
	for _, member := range to {
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(data, address); err != nil {
			e.options.Logger.Debug().Err(err).Str("host", string(member.Host)).Msg("Sending the state failed.")
		}
	}
}
