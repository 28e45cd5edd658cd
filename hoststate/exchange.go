package hoststate

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/net/ipv4"
	"google.golang.org/protobuf/proto"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
)

const (
	// heartbeatInterval is the longest time between two messages to a direct peer.
	heartbeatInterval = 100 * time.Millisecond
	// minSendInterval and sendIntervalPerHost bound the rate at which changes are
	// sent to near peers. The bound drops with their number, because each of them has
	// to process every message.
	minSendInterval     = 4 * time.Millisecond
	sendIntervalPerHost = time.Millisecond
	// cellIntervalPerHost replaces sendIntervalPerHost in systems that are divided, up to
	// maxCellInterval, while no requests wait. A quota's headroom covers reports that are 30 ms old
	// when a request is decided on.
	cellIntervalPerHost = 2 * time.Millisecond
	maxCellInterval     = 20 * time.Millisecond
	// minAggregateInterval and aggregateIntervalPerDataCentre set the time between two
	// aggregates from this host to the same remote host.
	minAggregateInterval           = 100 * time.Millisecond
	aggregateIntervalPerDataCentre = 40 * time.Millisecond
	// fullMeshHosts is the number of hosts up to which all exchange their states
	// directly. In a larger system, only the hosts of the same data centre do.
	fullMeshHosts = 16
	// maxDatagramBytes is the size of the receive buffer. A longer datagram is
	// truncated.
	maxDatagramBytes = 16 << 10
)

// Options configures an Exchange. All fields but LinkMbps are required.
type Options struct {
	Self        Member
	Incarnation uint64
	// LocalState returns this host's current state.
	LocalState func(now time.Time) Message
	// AggregateState returns the aggregate of the states of this host and its direct
	// peers.
	AggregateState func(now time.Time) Message
	// OnMessage is called for each new message from another host.
	OnMessage func(now time.Time, m Message)
	Logger    *log.Logger
	// LinkMbps is the bandwidth of this host's link in megabits per second; zero means that it
	// isn't known.
	LinkMbps float64
}

// Exchange sends this host's state to other hosts and receives theirs.
type Exchange struct {
	options  Options
	peers    atomic.Pointer[receivers]
	names    atomic.Pointer[NameIndex]
	sendNow  chan struct{}
	sequence uint64
	// lastFar and lastAggregate are when the far peers and the receivers of aggregates were
	// last sent a message.
	lastFar       time.Time
	lastAggregate time.Time
	// farState holds what the far peers have not been sent yet.
	farState Coalescer
	// nearUsage, farUsage and aggregateUsage hold what was last reported to each group.
	nearUsage      usageFilter
	farUsage       usageFilter
	aggregateUsage usageFilter
	// nearObservations and farObservations hold what was last observed in the messages to each
	// group. They are used in systems in which not all hosts exchange their states.
	nearObservations observationFilter
	farObservations  observationFilter
	pressure         Pressure
	reader           datagramReader
	// pacer limits the bytes of states for the near peers in systems in which not all hosts
	// exchange them, and nearBytes counts those since the last delay.
	pacer     sendPacer
	nearBytes int64
	// budget limits the bytes of all states together in such systems. farBytes and aggregateBytes
	// are what the last messages to the far peers and the last aggregates took.
	budget         linkBudget
	farBytes       int64
	aggregateBytes int64
	traffic        traffic
}

// New returns an exchange without peers. It sends and receives only while Run runs.
func New(o Options) *Exchange {
	e := &Exchange{
		options:        o,
		pacer:          newSendPacer(o.LinkMbps),
		budget:         newLinkBudget(o.LinkMbps),
		sendNow:        make(chan struct{}, 1),
		reader:         newDatagramReader(),
		nearUsage:      usageFilter{fullInterval: nearUsageInterval},
		farUsage:       usageFilter{fullInterval: farUsageInterval},
		aggregateUsage: usageFilter{fullInterval: farUsageInterval},
	}
	e.SetPeers(&PeerSet{cells: 1})
	e.names.Store(NewNameIndex(nil, nil))
	return e
}

// SetPeers replaces the set of other hosts.
func (e *Exchange) SetPeers(p *PeerSet) { e.peers.Store(newReceivers(p)) }

// SetNameIndex replaces the names that are recognized in received messages.
func (e *Exchange) SetNameIndex(names *NameIndex) { e.names.Store(names) }

// TriggerSend requests that the state is sent without waiting for the next heartbeat.
// It does not block.
func (e *Exchange) TriggerSend() {
	select {
	case e.sendNow <- struct{}{}:
	default:
	}
}

// Traffic returns the numbers of datagrams sent and received since the start, and whether a
// divided system exchanges states at the shorter intervals because requests wait.
func (e *Exchange) Traffic(now time.Time) (sent, received int64, pressure bool) {
	return e.traffic.sent.Load(), e.traffic.received.Load(), !e.peers.Load().fullMesh() && e.pressure.High(now)
}

// Shortened returns the number of messages to far peers since the start that had to wait for the link
// and left out what could wait longer.
func (e *Exchange) Shortened() int64 { return e.traffic.shortened.Load() }

// TakeSendTime returns the longest time that it took to hand a message for all its receivers to the
// system since the last call. It is long while the queue of the link is full.
func (e *Exchange) TakeSendTime() time.Duration { return time.Duration(e.traffic.sendTime.Swap(0)) }

// Run sends and receives until ctx is done.
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
	packets := ipv4.NewPacketConn(conn)
	go e.sendLoop(ctx, packets)
	e.reader.open(packets)
	return e.receiveLoop(ctx)
}

// receiveLoop handles datagrams until ctx is done, which closes the connection.
func (e *Exchange) receiveLoop(ctx context.Context) error {
	for {
		atIntervals := !e.peers.Load().fullMesh() && !e.reader.urgent.Load()
		full, err := e.reader.read(!atIntervals, e.handleDatagram)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// For example ECONNREFUSED, after an ICMP port unreachable from a stopped
			// host.
			e.options.Logger.Debug().Err(err).Msg("Receiving a host state datagram failed; continuing with the next one.")
			continue
		}
		if atIntervals && !full {
			e.reader.sleep(ctx)
		}
	}
}

// ReadPending handles the datagrams that have arrived, unless they are read at once in any case. It
// is called before a decision that rests on the states of other hosts, and does not block.
func (e *Exchange) ReadPending() { e.reader.readPending(time.Now(), e.handleDatagram) }

// SetUrgent sets whether requests wait at this host. Then a state of another host may decide on them
// as soon as it arrives. Otherwise datagrams are read at intervals, in a divided system.
func (e *Exchange) SetUrgent(urgent bool) { e.reader.setUrgent(urgent) }

func (e *Exchange) handleDatagram(filter *replayFilter, data []byte) {
	e.traffic.received.Add(1)
	if head, ok := readHead(data); ok && filter.rejects(time.Now(), head) {
		return
	}
	state := &hostpb.HostState{}
	if err := proto.Unmarshal(data, state); err != nil {
		e.options.Logger.Warn().Err(err).Msg("A datagram could not be decoded as a host state; dropping it.")
		return
	}
	now := time.Now()
	host := ident.Host(state.GetHost())
	if host == e.options.Self.Host || !filter.accept(now, host, state.GetIncarnation(), state.GetSequence()) {
		return
	}
	m := e.names.Load().decode(now, state)
	e.pressure.Record(now, &m.Schedule)
	e.options.OnMessage(now, m)
}
