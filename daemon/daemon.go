package daemon

import (
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/entry"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/operator"
	"github.com/cornelyard/cornelyard/peer"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/storage/hostwatch"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/trial"
	"github.com/cornelyard/cornelyard/usage"
)

const (
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// hostListInterval is the polling interval of the platform's host list.
	hostListInterval = time.Second
	// settingsInterval is the polling interval of the settings version.
	settingsInterval = time.Second
	// settingsJitter is the fraction by which settingsInterval varies, so that
	// hosts don't poll at the same time.
	settingsJitter = 0.2
	// maxBufferedBytes bounds the sum of the responses that are buffered, of which each may
	// use freeBufferedBytes beyond that.
	maxBufferedBytes  = 256 << 20
	freeBufferedBytes = 64 << 10
)

// Daemon is an entry host with all its components.
type Daemon struct {
	config      config.Host
	started     time.Time
	incarnation uint64
	logs        *logging.Factory
	logger      *log.Logger
	metrics     metrics.Metrics
	clock       *timeline.Clock
	ring        *timeline.Ring
	usage       *usage.Aggregator

	table    storage.Table
	objects  storage.Objects
	hosts    *hostwatch.Watcher
	settings *settings.Watcher
	store    *settings.Store
	tracker  *membership.Tracker
	mesh     *peer.Mesh
	client   *pool.Client
	manager  *pool.Manager
	targets  *target.Client
	claims   *claim.Manager
	sweeper  *claim.Sweeper
	trials   *trial.Ledger
	entry    *entry.Entry
	operator *operator.Operator
}

// New builds the components of a host. It opens no connections or listeners.
func New(o Options) (*Daemon, error) {
	c := o.Config.WithDefaults()
	started := time.Now()
	d := &Daemon{
		config:      c,
		started:     started,
		incarnation: membership.NewIncarnation(started),
		logs:        logging.New(logging.Options{Level: c.LogLevel, Output: o.LogOutput}),
		metrics:     metrics.New(),
		clock:       timeline.NewClock(),
	}
	d.logger = d.logs.For("daemon")
	d.ring = timeline.NewRing(timeline.RingOptions{
		Host:     c.Host,
		Clock:    d.clock,
		Capacity: c.Limits.TimelineEvents,
	})
	d.usage = usage.NewAggregator(usage.Options{Host: c.Host, Incarnation: d.incarnation})
	d.buildPlatform()
	d.buildMembership()
	if err := d.buildMesh(); err != nil {
		return nil, err
	}
	d.buildPools()
	d.buildEntry()
	d.buildOperator()
	d.connectComponents()
	return d, nil
}

// isSweeper reports whether this host removes old rows of the platform on behalf of all
// hosts. The first by name of the hosts that are alive and not draining does.
func (d *Daemon) isSweeper() bool {
	view := d.tracker.View()
	for _, m := range view.Members {
		if m.State == membership.Alive && !m.Leaving {
			return m.Host == view.Self.Host
		}
	}
	return false
}
