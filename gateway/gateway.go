package gateway

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/internal/bytebudget"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/platform"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/relay"
	"github.com/cornelyard/cornelyard/retrybudget"
	"github.com/cornelyard/cornelyard/roster"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/streamversion"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/trial"
)

const (
	// targetDialTimeout bounds the time to connect to a target.
	targetDialTimeout = 300 * time.Millisecond
	// targetIdleTimeout is how long an idle connection to a target is kept.
	targetIdleTimeout = 4 * time.Second
	// unresponsiveTargetTimeout is how long sent bytes may stay unacknowledged by a target,
	// or unsent because it reads nothing. It outlasts the pauses of a target that goes on.
	unresponsiveTargetTimeout = 30 * time.Second
	// peerDialTimeout bounds the time to connect to another host, and
	// unresponsivePeerTimeout is the corresponding timeout of its connections.
	peerDialTimeout         = 300 * time.Millisecond
	unresponsivePeerTimeout = 3 * time.Second
	// heapFraction is the fraction of the process's memory that the Go heap may use. The
	// remainder is for program text, stacks and socket buffers.
	heapFraction = 0.6
	// gcPercent is how much the heap grows between two garbage collections, in percent of what is in
	// use, as long as the limit of the heap allows it. A host uses some megabytes only, so with the
	// default of 100 it collects several times a second under load.
	gcPercent = 400
	// requestFraction and responseFraction are the fractions of the heap that the bodies of
	// requests and buffered responses may use. Each may use freeRequestBytes or
	// freeResponseBytes beyond that, so that short ones always pass.
	requestFraction   = 0.3
	responseFraction  = 0.25
	freeRequestBytes  = 8 << 10
	freeResponseBytes = 64 << 10
)

// Options configures a Gateway.
type Options struct {
	// Config holds the host's validated settings.
	Config config.Gateway
	// LogOutput receives the log lines; nil means standard output.
	LogOutput io.Writer
	// DialTarget connects to targets; nil means over TCP.
	DialTarget target.DialFunc
}

// Gateway is one host with all its components.
type Gateway struct {
	config config.Gateway
	dial   target.DialFunc
	// targetClient sends requests to targets and probes them.
	targetClient *platform.TargetClient
	logs         *logging.StructuredFactory
	logger       *log.Logger
	metrics      metrics.Metrics
	state        *clusterState
	transport    *target.Transport
	// peerTransport connects to other hosts, peerServer serves what they pass on, and key is
	// what they send along.
	peerTransport *target.Transport
	peerServer    *http.Server
	key           string
	directory     *platform.Directory
	trials        *trial.Ledger
	relay         *relay.Relay
	ingress       *platform.Ingress
	// requestBudget and responseBudget bound the memory for bodies of requests and for
	// responses.
	requestBudget  *bytebudget.Budget
	responseBudget *bytebudget.Budget
	buffers        []*bufferMonitor
	traffic        trafficMonitor
	saturation     *saturationMonitor
	distances      distanceMonitor
	// reloaded holds the settings of the last successful reload.
	reloaded atomic.Pointer[config.Gateway]
	// stopping is set once the host drains: callers are directed to other hosts.
	stopping atomic.Bool
}

// New assembles a host. It opens no connections or listeners.
func New(o Options) *Gateway {
	c := o.Config
	heapLimit := heapFraction * float64(c.MemoryMB) * (1 << 20)
	debug.SetMemoryLimit(int64(heapLimit))
	debug.SetGCPercent(gcPercent)
	g := &Gateway{
		config:  c,
		dial:    o.DialTarget,
		key:     uuid.NewString(),
		logs:    logging.NewStructured(logging.Options{Level: c.LogLevel, Output: o.LogOutput, Host: string(c.Host)}),
		metrics: metrics.New(),

		requestBudget:  bytebudget.New(int64(requestFraction*heapLimit), freeRequestBytes),
		responseBudget: bytebudget.New(int64(responseFraction*heapLimit), freeResponseBytes),
	}
	g.logger = g.logs.For("gateway")
	g.reloaded.Store(&c)
	g.buffers = []*bufferMonitor{
		{kind: bufferRequests, budget: g.requestBudget, logger: g.logs.For("buffers")},
		{kind: bufferResponses, budget: g.responseBudget, logger: g.logs.For("buffers")},
	}
	store := platform.NewStoreClient(c.StoreAddress, g.countStoreCall)
	g.trials = trial.NewLedger(trial.Options{Table: store.TrialTable(), Host: c.Host, Logger: g.logs.For("quarantine"), Now: time.Now})
	g.saturation = newSaturationMonitor(g.logs.For("saturation"))
	g.buildState()
	g.buildRelay()
	g.saturation.inFlight, g.saturation.sendTime = g.relay.InFlight, g.state.exchange.TakeSendTime
	g.directory = platform.NewDirectory(store, g.state, g.state.freshness, c.DrainTime.Std(), g.logs.For("directory"))
	g.state.rereadTable, g.state.readChanges = g.directory.RereadTable, g.directory.ReadChanges
	if g.state.rollouts != nil {
		g.directory.EnableRollouts()
	}
	return g
}

// sharedNow returns the time of the store's clock, which all hosts share, in milliseconds, or 0 while
// it is unknown.
func (g *Gateway) sharedNow(now time.Time) int64 { return g.directory.NowMs(now) }

func (g *Gateway) buildState() {
	state := &clusterState{
		self: g.self(),
		quotas: quota.NewLimiter(time.Now(), quota.Limits{
			Window:    g.config.Quota.Window.Std(),
			Overage:   g.config.Quota.Overage,
			Allowance: g.config.Quota.Allowance,
		}),
		retryBudget:   retrybudget.New(time.Now(), retryLimits(&g.config)),
		streams:       streamversion.NewTracker(),
		logger:        g.logs.For("knowledge"),
		targetTracker: roster.NewTracker(),
		peers:         newPeerMonitor(g.logs.For("peers")),
		crashes:       &crashRecords{logger: g.logs.For("quarantine")},
	}
	scheduler := schedule.New(schedule.Options{
		Host: g.config.Host, DataCentre: g.config.DataCentre, FairShares: platform.CallsForFairShares(g.config.Contracts),
		SharedClock: g.sharedNow, ConnectionIdleTime: targetIdleTimeout,
	})
	state.dispatcher = relay.NewDispatcher(relay.DispatcherOptions{
		Scheduler:          scheduler,
		OnStateChange:      func() { state.exchange.TriggerSend() },
		OnQueue:            func(queued bool) { state.exchange.SetUrgent(queued) },
		ReadStates:         func() { state.exchange.ReadPending() },
		OnHealthEvents:     state.logHealthEvents,
		OnCrashes:          g.logCrashes,
		OnQuarantineEvents: g.logQuarantineEvents,
		OnSuspicionEvents:  g.logSuspicionEvents,
		OnProbe:            g.logProbe,
		OnTrialEnd:         g.logTrialEnd,
		OnLimitEvents:      state.logLimitEvents,
		OnRateEvents:       state.logRateEvents,
		OnMachineEvents:    state.logMachineEvents,
		OnScarcityEvents:   state.logScarcityEvents,
		OnPrefixEvents:     state.logPrefixEvents,
		OnMemoryEvents:     state.logMemoryEvents,
	})
	state.exchange = hoststate.New(hoststate.Options{
		Self:           g.self(),
		Incarnation:    uint64(time.Now().UnixNano()),
		LocalState:     state.localState,
		AggregateState: state.aggregateState,
		OnMessage:      state.handleMessage,
		Logger:         g.logs.For("hoststate"),
		LinkMbps:       g.config.LinkMbps,
	})
	g.traffic.logger = g.logs.For("hoststate")
	g.distances.logger = g.logs.For("placement")
	state.freshness = freshness.NewPlan(freshness.Options{
		Host: g.config.Host, Contact: g.config.ContactTime.Std(), Clock: g.sharedNow, OnConfirm: state.tableConfirmed,
	})
	state.rollouts = g.newRollouts(state)
	g.state = state
}

// confirmTargets returns nil once the newest targets are known.
func (g *Gateway) confirmTargets(ctx context.Context) error { return g.directory.ConfirmTargets(ctx) }

// readTargets has the changes of the targets read now.
func (g *Gateway) readTargets() { g.directory.ReadChanges(freshness.Targets) }

func (g *Gateway) buildRelay() {
	g.transport = target.NewTransport(target.TransportOptions{
		Dial:                g.dial,
		DialTimeout:         targetDialTimeout,
		IdleTimeout:         targetIdleTimeout,
		UnresponsiveTimeout: unresponsiveTargetTimeout,
	})
	g.targetClient = platform.NewTargetClient(g.transport, g.dial)
	g.peerTransport = target.NewTransport(target.TransportOptions{
		DialTimeout:         peerDialTimeout,
		IdleTimeout:         targetIdleTimeout,
		UnresponsiveTimeout: unresponsivePeerTimeout,
	})
	g.relay = relay.New(relay.Options{
		PeerClient:     platform.NewPeerClient(g.peerTransport, g.state.member),
		Table:          g.state.table.Load,
		TableCurrency:  g.state.tableCurrency,
		Dispatcher:     g.state.dispatcher,
		TargetClient:   g.targetClient,
		Quotas:         g.state.quotas,
		RetryBudget:    g.state.retryBudget,
		Streams:        g.state.streams,
		ConfirmTargets: g.confirmTargets,
		ReadTargets:    g.readTargets,
		Trials:         g.trials,
		Budget:         g.responseBudget,
		Gate:           g.saturation,
		Observer: multiObserver{
			eventlog.NewRequestLogger(g.logs.For("request"), eventlog.HostFields{DataCentre: g.config.DataCentre, Class: g.config.HostClass()}),
			&requestMetrics{scope: g.metrics.Scope},
		},
	})
	g.ingress = platform.NewIngress(g.relay, g.state.table.Load, g.stopping.Load, g.requestBudget)
	g.peerServer = &http.Server{
		Addr:              g.config.PeerAddress,
		Handler:           platform.NewPeerIngress(g.ingress, g.key),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (g *Gateway) self() hoststate.Member {
	return hoststate.Member{
		Host:       g.config.Host,
		DataCentre: g.config.DataCentre,
		Address:    g.config.PeerAddress,
		Key:        g.key,
	}
}

// ready returns why this host should not receive callers, or nil.
func (g *Gateway) ready() error {
	if g.stopping.Load() {
		return Error.New("the host is stopping")
	}
	if !g.trials.Scanned() {
		return Error.New("the contents on trial have not been read yet")
	}
	return g.state.ready()
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := g.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
