package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/platform"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/relay"
	"github.com/cornelyard/cornelyard/retrybudget"
	"github.com/cornelyard/cornelyard/roster"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// knowledge is what this host knows of the configuration, the targets and the
// other hosts. It hands each change to the parts that act on it.
type clusterState struct {
	self        hoststate.Member
	dispatcher  *relay.Dispatcher
	exchange    *hoststate.Exchange
	quotas      *quota.Limiter
	retryBudget *retrybudget.Budget
	peers       *peerMonitor
	logger      *log.Logger

	// tableConfirmed and targetsConfirmed are when the store last confirmed them.
	tableConfirmed   timestamp
	targetsConfirmed timestamp

	table atomic.Pointer[route.Table]
	// listed says that the targets were read at least once.
	targetsLoaded atomic.Bool

	mu            sync.Mutex
	targetTracker *roster.Tracker
	targets       *route.TargetSnapshot
}

var _ platform.Listener = (*clusterState)(nil)

// TableChanged implements platform.Listener. An older configuration than the one in
// force is not used.
func (s *clusterState) TableChanged(t *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.table.Load()
	if before != nil && t.Version <= before.Version {
		return
	}
	s.table.Store(t)
	s.logger.Info().Str(eventlog.FieldEvent, eventlog.EventTableApplied).Uint64(eventlog.FieldTableVersion, t.Version).
		Int("teams", len(t.Teams)).Int("pools", len(t.Pools)).Msg("Configuration is in force.")
	s.applyConfiguration(time.Now())
}

// TargetsChanged implements platform.Listener.
func (s *clusterState) TargetsChanged(targets map[ident.Target]route.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.targetTracker.SetEntries(now, targets)
	s.targetsLoaded.Store(true)
	s.refreshTargets(now)
}

// StoreReachable implements platform.Listener.
func (s *clusterState) StoreReachable(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.targetTracker.RecordStoreCall(now, answered)
	if answered {
		s.targetsConfirmed.set(now)
	}
}

// TableConfirmed implements platform.Listener.
func (s *clusterState) TableConfirmed() { s.tableConfirmed.set(time.Now()) }

// refresh brings the roster up to date, and does so again when missing targets
// count as gone. The mutex is held.
func (s *clusterState) refreshTargets(now time.Time) {
	before := s.targets
	s.targets = s.targetTracker.Snapshot(now)
	s.logTargetChanges(before)
	s.applyConfiguration(now)
	if wait := s.targetTracker.UntilExpiry(now); wait > 0 {
		time.AfterFunc(wait, s.expireTargets)
	}
}

func (s *clusterState) expireTargets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshTargets(time.Now())
}

// logTargetChanges writes a line for each target that came, went, or changed its state.
func (s *clusterState) logTargetChanges(before *route.TargetSnapshot) {
	if before == nil {
		before = &route.TargetSnapshot{}
	}
	for name, t := range s.targets.Targets {
		if old, known := before.Targets[name]; !known || old != t {
			s.logTarget(t, targetState(t))
		}
	}
	for name, t := range before.Targets {
		if _, still := s.targets.Targets[name]; !still {
			s.logTarget(t, "gone")
		}
	}
}

func targetState(t route.Target) string {
	if t.Draining {
		return "leaving"
	}
	return "ready"
}

func (s *clusterState) logTarget(t route.Target, state string) {
	s.logger.Info().Str(eventlog.FieldEvent, eventlog.EventTargetChanged).
		Str(eventlog.FieldTarget, string(t.Name)).
		Str(eventlog.FieldPool, string(t.Pool)).
		Str("address", t.Address).Str("state", state).Msg("Target changed.")
}

// noticed writes a line for each target that begins or ends a rest.
func (s *clusterState) logHealthEvents(events []schedule.HealthEvent) {
	for _, e := range events {
		event, message := eventlog.EventTargetRestored, "Target is back."
		if e.Ejected {
			event, message = eventlog.EventTargetEjected, "Target rests."
		}
		s.logger.Info().Str(eventlog.FieldEvent, event).
			Str(eventlog.FieldTarget, string(e.Target)).
			Str(eventlog.FieldPool, string(e.Pool)).
			Str(eventlog.FieldCause, e.Cause).
			Int64(eventlog.FieldUntilMs, max(0, time.Until(e.Until).Milliseconds())).Msg(message)
	}
}

// declare hands the configuration and the roster on. The mutex is held.
func (s *clusterState) applyConfiguration(now time.Time) {
	table := s.table.Load()
	if table == nil || s.targets == nil {
		return
	}
	s.exchange.SetNameIndex(hoststate.NewNameIndex(table, s.targets))
	s.dispatcher.Configure(now, table.Pools, s.targets)
}

// HostsChanged implements platform.Listener.
func (s *clusterState) HostsChanged(members []hoststate.Member) {
	others := slices.DeleteFunc(members, func(m hoststate.Member) bool { return m.Host == s.self.Host })
	peers := hoststate.NewPeerSet(s.self, others)
	s.exchange.SetPeers(peers)
	now := time.Now()
	s.quotas.SetPeers(now, peers.Direct(), peers.AggregatedCounts())
	s.dispatcher.SetPeerCount(now, len(others))
	s.retryBudget.SetHostCount(len(others) + 1)
	s.logger.Info().Int("others", len(others)).Msg("Hosts changed.")
}

// hear takes in another host's state.
func (s *clusterState) handleMessage(now time.Time, m hoststate.Message) {
	s.peers.observe(now, m.Host)
	if m.AggregateOf != "" {
		s.quotas.MergeDataCentre(now, m.AggregateOf, m.Host, m.Incarnation, m.TeamUsage)
		s.dispatcher.ApplyDataCentreState(now, m.AggregateOf, m.AggregatedHosts, m.Schedule)
		return
	}
	s.quotas.MergeHost(now, m.Host, m.Incarnation, m.TeamUsage)
	s.dispatcher.ApplyPeerState(now, m.Host, m.Schedule)
}

// compose returns this host's state for the others.
func (s *clusterState) localState(now time.Time) hoststate.Message {
	m := hoststate.Message{
		Host:      s.self.Host,
		Schedule:  s.dispatcher.LocalState(now),
		TeamUsage: s.quotas.HostUsage(now),
	}
	if table := s.table.Load(); table != nil {
		m.TableVersion = table.Version
	}
	return m
}

// composeSum returns the states of the hosts of this data centre, added up.
func (s *clusterState) aggregateState(now time.Time) hoststate.Message {
	aggregate, hosts := s.dispatcher.AggregateState(now)
	return hoststate.Message{
		Host:            s.self.Host,
		AggregateOf:     s.self.DataCentre,
		AggregatedHosts: hosts,
		Schedule:        aggregate,
		TeamUsage:       s.quotas.DataCentreUsage(now),
	}
}

// ready returns why this host should get no callers yet, or nil.
func (s *clusterState) ready() error {
	switch {
	case s.table.Load() == nil:
		return Error.New("no configuration is known yet")
	case !s.targetsLoaded.Load():
		return Error.New("the targets are not known yet")
	default:
		return nil
	}
}
