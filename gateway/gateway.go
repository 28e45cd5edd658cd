package gateway

import (
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/platform"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/relay"
	"github.com/cornelyard/cornelyard/retrybudget"
	"github.com/cornelyard/cornelyard/roster"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/target"
)

const (
	// targetDialTimeout bounds the time to connect to a target.
	targetDialTimeout = 300 * time.Millisecond
	// targetIdleTimeout is how long an unused connection to a target is kept.
	targetIdleTimeout = 4 * time.Second
	// targetSilence is how long a target may leave sent bytes unacknowledged.
	targetSilence = 1200 * time.Millisecond
	// heapShare is the part of the process's memory that the heap may take; the
	// rest is for program text, stacks and what sockets hold.
	heapShare = 0.6
)

// Options configures a Gateway.
type Options struct {
	// Config is the host's checked settings.
	Config config.Gateway
	// LogOutput receives the log lines; nil means standard output.
	LogOutput io.Writer
}

// Gateway is one host with all its parts.
type Gateway struct {
	config    config.Gateway
	logs      *logging.Structured
	logger    *log.Logger
	metrics   metrics.Metrics
	knowledge *knowledge
	transport *target.Transport
	directory *platform.Directory
	relay     *relay.Relay
	ingress   *platform.Ingress
	// reloaded is the settings file as it was read last.
	reloaded atomic.Pointer[config.Gateway]
	// stopping says that callers are sent to other hosts.
	stopping atomic.Bool
}

// New puts a host together. It opens no connection and no listener.
func New(o Options) *Gateway {
	c := o.Config
	debug.SetMemoryLimit(int64(heapShare * float64(c.MemoryMB) * (1 << 20)))
	g := &Gateway{
		config:  c,
		logs:    logging.NewStructured(logging.Options{Level: c.LogLevel, Output: o.LogOutput, Host: string(c.Host)}),
		metrics: metrics.New(),
	}
	g.logger = g.logs.For("gateway")
	g.reloaded.Store(&c)
	g.buildKnowledge()
	g.buildRelay()
	g.directory = platform.NewDirectory(platform.NewStoreClient(c.StoreAddress, g.countStoreCall), g.knowledge, g.logs.For("directory"))
	return g
}

func (g *Gateway) buildKnowledge() {
	k := &knowledge{
		self: g.self(),
		quotas: quota.NewLimiter(time.Now(), quota.Limits{
			Window:    g.config.Quota.Window.Std(),
			Overage:   g.config.Quota.Overage,
			Allowance: g.config.Quota.Allowance,
		}),
		retries: retrybudget.New(retryLimits(&g.config)),
		logger:  g.logs.For("knowledge"),
		keeper:  roster.NewTracker(),
		peers:   newPeerWatch(g.logs.For("peers")),
	}
	scheduler := schedule.New(schedule.Options{DataCentre: g.config.DataCentre})
	k.dispatcher = relay.NewDispatcher(relay.DispatcherOptions{
		Scheduler:      scheduler,
		OnStateChange:  func() { k.exchange.TriggerSend() },
		OnHealthEvents: k.noticed,
	})
	k.exchange = hoststate.New(hoststate.Options{
		Self:           g.self(),
		Incarnation:    uint64(time.Now().UnixNano()),
		LocalState:     k.compose,
		AggregateState: k.composeSum,
		OnMessage:      k.hear,
		Logger:         g.logs.For("hoststate"),
	})
	g.knowledge = k
}

func (g *Gateway) buildRelay() {
	g.transport = target.NewTransport(target.TransportOptions{
		DialTimeout:         targetDialTimeout,
		IdleTimeout:         targetIdleTimeout,
		UnresponsiveTimeout: targetSilence,
	})
	g.relay = relay.New(relay.Options{
		Table:        g.knowledge.table.Load,
		Dispatcher:   g.knowledge.dispatcher,
		TargetClient: platform.NewExchanger(g.transport),
		Quotas:       g.knowledge.quotas,
		RetryBudget:  g.knowledge.retries,
		Observer: observers{
			eventlog.NewRequestLogger(g.logs.For("request")),
			&requestMetrics{scope: g.metrics.Scope},
		},
	})
	g.ingress = platform.NewIngress(g.relay, g.knowledge.table.Load, g.stopping.Load)
}

func (g *Gateway) self() hoststate.Member {
	return hoststate.Member{
		Host:       g.config.Host,
		DataCentre: g.config.DataCentre,
		Address:    g.config.PeerAddress,
	}
}

// ready returns why this host should get no callers, or nil.
func (g *Gateway) ready() error {
	if g.stopping.Load() {
		return Error.New("the host is stopping")
	}
	return g.knowledge.ready()
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := g.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
