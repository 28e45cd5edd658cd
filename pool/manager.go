package pool

import (
	"context"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
)

// reconcileInterval is the maximum time between two reconciliations.
const reconcileInterval = 500 * time.Millisecond

// Manager runs the schedulers of the pools that this host owns. It implements
// peer.Handler.
type Manager struct {
	options ManagerOptions

	mu     sync.Mutex
	owners map[ident.Pool]*runningOwner
	// crashes holds the crashes that owners published, by pool.
	crashes map[ident.Pool]*quarantine.Tracker
	// suspects holds the contents that the platform's table lists as on trial.
	suspects []quarantine.Digest
	// fallbacks holds the latest fallback periods of pools that this host does not own.
	fallbacks map[ident.Pool]fallbackPeriod
	stopped   bool
	done      sync.WaitGroup
}

// NewManager returns a manager. It owns pools only while Run is running.
func NewManager(o ManagerOptions) *Manager {
	return &Manager{
		options:   o,
		owners:    make(map[ident.Pool]*runningOwner),
		crashes:   make(map[ident.Pool]*quarantine.Tracker),
		fallbacks: make(map[ident.Pool]fallbackPeriod),
	}
}

// Run starts and stops owners as members, settings and the host list change,
// until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	defer m.stopAll()
	var previous *membership.View
	for {
		members := m.options.Members.Changed()
		changed := m.options.Settings.Changed()
		hosts := m.options.Hosts.Changed()
		view := m.options.Members.View()
		m.reconcile(view, m.options.Settings.Current())
		m.notifyLostHosts(previous, view)
		previous = view
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-members:
		case <-changed:
		case <-hosts:
		}
	}
}

// reconcile starts, updates and stops owners to match the view and the settings.
func (m *Manager) reconcile(view *membership.View, snapshot *settings.Snapshot) {
	if snapshot == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	live := liveMembers(view, m.options.DataCentre)
	for name := range snapshot.Pools {
		m.reconcilePool(view, snapshot, name, live)
	}
	for name, o := range m.owners {
		if _, declared := snapshot.Pools[name]; !declared {
			m.stopOwner(name, o)
		}
	}
	m.options.Scope.Gauge(metrics.PoolsOwned).Update(float64(len(m.owners)))
}

func (m *Manager) reconcilePool(
	view *membership.View, snapshot *settings.Snapshot, name ident.Pool, live []ident.Host,
) {
	k := key{dataCentre: m.options.DataCentre, pool: name}
	isOwner := ownerOf(view, k) == m.options.Host
	fallback := !isOwner && m.fallbacks[name].includes(m.options.Now())
	running, ok := m.owners[name]
	if ok && (!isOwner && !fallback || running.fallback != fallback) {
		m.stopOwner(name, running)
		ok = false
	}
	if !isOwner && !fallback {
		return
	}
	config := m.buildConfig(view, snapshot, name, fallback)
	if !ok {
		m.startOwner(k, config, fallback)
		return
	}
	running.offer("", configEvent{config: config})
	running.offer("", membersEvent{live: live})
}

func (m *Manager) startOwner(k key, config admission.Config, fallback bool) {
	if m.stopped {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	o := &runningOwner{owner: newOwner(m.options, k, fallback), stop: stop}
	m.owners[k.pool] = o
	if known := m.crashes[k.pool]; known != nil {
		o.offer("", crashEvent{crashes: known.Crashes(m.options.Now())})
	}
	o.offer("", suspectsEvent{digests: m.suspects})
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		o.run(ctx, config)
	}()
	m.options.Logger.Info().Str("pool", string(k.pool)).Bool("fallback", fallback).Msg("Started scheduling the pool on this host.")
}

func (m *Manager) stopOwner(name ident.Pool, o *runningOwner) {
	o.stop()
	delete(m.owners, name)
	m.options.Logger.Info().Str("pool", string(name)).Msg("Stopped scheduling the pool on this host.")
}

// SetSuspects sets the contents that may run in trials only, beside those that are known
// from crashes.
func (m *Manager) SetSuspects(digests []quarantine.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspects = digests
	for _, o := range m.owners {
		o.offer("", suspectsEvent{digests: digests})
	}
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	m.stopped = true
	for name, o := range m.owners {
		m.stopOwner(name, o)
	}
	m.mu.Unlock()
	m.done.Wait()
}

// notifyLostHosts notifies the owners of hosts that failed or restarted between two
// views.
func (m *Manager) notifyLostHosts(previous, view *membership.View) {
	if previous == nil || previous == view {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, old := range previous.Members {
		if old.State == membership.Dead {
			continue
		}
		now, known := view.Member(old.Host)
		if known && now.State != membership.Dead && now.Incarnation == old.Incarnation {
			continue
		}
		for _, o := range m.owners {
			o.offer("", hostLostEvent{host: old.Host})
		}
	}
}

// Statuses returns the latest status of each pool that this host schedules.
func (m *Manager) Statuses() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Status
	for name, o := range m.owners {
		s := Status{Pool: name}
		if snapshot := o.status.Load(); snapshot != nil {
			s.Snapshot = *snapshot
		}
		all = append(all, s)
	}
	return all
}
