package daemon

import (
	"time"

	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/entry"
	"github.com/cornelyard/cornelyard/internal/bytebudget"
	"github.com/cornelyard/cornelyard/loadreport"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/operator"
	"github.com/cornelyard/cornelyard/peer"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage/hostwatch"
	"github.com/cornelyard/cornelyard/storage/restclient"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/trial"
)

func (d *Daemon) buildPlatform() {
	client := restclient.New(restclient.Options{BaseURL: d.config.Platform, Timeout: platformTimeout})
	d.table = client
	d.objects = client.Objects()
	d.hosts = hostwatch.New(hostwatch.Options{
		List:     client,
		Interval: hostListInterval,
		Logger:   d.logs.For("hosts"),
	})
	d.settings = settings.NewWatcher(settings.WatcherOptions{
		Table:    d.table,
		Interval: settingsInterval,
		Jitter:   settingsJitter,
		Fetch:    d.fetchSettings,
		Recorder: d.ring,
		Logger:   d.logs.For("settings"),
		Scope:    d.metrics.Scope,
	})
	d.store = settings.NewStore(settings.StoreOptions{Table: d.table, Watcher: d.settings})
}

func (d *Daemon) buildMembership() {
	d.tracker = membership.NewTracker(membership.Options{
		Self: membership.Member{
			Host:            d.config.Host,
			DataCentre:      d.config.DataCentre,
			PeerAddress:     d.config.AdvertisedPeerAddress,
			OperatorAddress: d.config.OperatorAddress,
			Incarnation:     d.incarnation,
			State:           membership.Alive,
		},
		HostList:         d.hosts,
		HostListInterval: hostListInterval,
		Timing:           d.config.Timing,
		Recorder:         d.ring,
		Logger:           d.logs.For("membership"),
		Scope:            d.metrics.Scope,
	})
}

func (d *Daemon) buildMesh() error {
	keys, err := peer.ParseKeys(d.config.PeerKeys)
	if err != nil {
		return Error.Wrap(err)
	}
	d.mesh, err = peer.NewMesh(peer.Options{
		Listen:  d.config.PeerAddress,
		Keys:    keys,
		Seeds:   d.config.Seeds,
		Members: d.tracker,
		Clock:   d.clock,
		Logger:  d.logs.For("peer"),
		Scope:   d.metrics.Scope,
	})
	return Error.Wrap(err)
}

func (d *Daemon) buildPools() {
	d.client = pool.NewClient(pool.ClientOptions{
		Members:  d.tracker,
		Settings: d.settings,
		Hosts:    d.hosts,
		Sender:   d.mesh,
		Recorder: d.ring,
		Logger:   d.logs.For("pool"),
		Now:      time.Now,
	})
	d.manager = pool.NewManager(pool.ManagerOptions{
		Host:       d.config.Host,
		DataCentre: d.config.DataCentre,
		Members:    d.tracker,
		Settings:   d.settings,
		Hosts:      d.hosts,
		Sender:     d.mesh,
		LoadReader: loadreport.NewReader(time.Now),
		Recorder:   d.ring,
		Usage:      d.usage,
		Scope:      d.metrics.Scope,
		Logger:     d.logs.For("pool"),
		GrantLease: d.config.Timing.GrantLease.Std(),
		Now:        time.Now,
	})
}

func (d *Daemon) buildEntry() {
	d.targets = target.NewClient(target.Options{
		Recorder: d.ring,
		Logger:   d.logs.For("target"),
		Budget:   bytebudget.New(maxBufferedBytes, freeBufferedBytes),
	})
	d.claims = claim.New(claim.Options{
		Table:       d.table,
		Objects:     d.objects,
		Host:        d.config.Host,
		Incarnation: d.incarnation,
		Alive:       func(h claim.Holder) bool { return mayBeRunning(time.Now(), d.tracker.View(), h) },
		Logger:      d.logs.For("claim"),
	})
	d.trials = trial.NewLedger(trial.Options{Table: d.table, Host: d.config.Host, Logger: d.logs.For("trial"), Now: time.Now})
	d.sweeper = claim.NewSweeper(claim.SweeperOptions{
		Table:     d.table,
		Objects:   d.objects,
		Retention: d.config.Timing.ClaimRetention.Std(),
		Enabled:   d.isSweeper,
		Logger:    d.logs.For("claim"),
		Now:       time.Now,
	})
	d.entry = entry.New(entry.Options{
		Address:        d.config.CallerAddress,
		Host:           d.config.Host,
		Incarnation:    d.incarnation,
		Settings:       d.settings,
		Admitter:       d.client,
		Targets:        d.targets,
		Claims:         d.claims,
		Trials:         d.trials,
		Recorder:       d.ring,
		Limits:         d.config.Limits,
		Timing:         d.config.Timing,
		Scope:          d.metrics.Scope,
		Logger:         d.logs.For("entry"),
		TargetDraining: d.hosts.TargetLeaving,
		Ready:          d.ready,
	})
}

func (d *Daemon) buildOperator() {
	d.operator = operator.New(operator.Options{
		Address:             d.config.OperatorAddress,
		OperatorTokenHashes: d.config.OperatorTokenHashes,
		Settings:            d.settings,
		Store:               d.store,
		Members:             d.tracker,
		Caller:              d.mesh,
		Pools:               d.manager,
		Timeline:            d.ring,
		Usage:               d.usage,
		Ready:               d.ready,
		Metrics:             d.metrics.Handler,
		Logger:              d.logs.For("operator"),
	})
}

// connectComponents sets the references between components that depend on each
// other.
func (d *Daemon) connectComponents() {
	d.tracker.SetSender(d.mesh)
	d.tracker.OnSettingsVersion(d.settings.NotifyVersion)
	d.mesh.AddHandler(d.tracker)
	d.mesh.AddHandler(d.client)
	d.mesh.AddHandler(d.manager)
	d.mesh.RegisterMethod(methodSettings, d.serveSettings)
	for _, method := range d.operator.Methods() {
		d.mesh.RegisterMethod(method.Name, method.Serve)
	}
}
