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
type knowledge struct {
	self       hoststate.Member
	dispatcher *relay.Dispatcher
	exchange   *hoststate.Exchange
	quotas     *quota.Limiter
	retries    *retrybudget.Budget
	peers      *peerWatch
	logger     *log.Logger

	// tableConfirmed and rosterConfirmed are when the store last confirmed them.
	tableConfirmed  moment
	rosterConfirmed moment

	table atomic.Pointer[route.Table]
	// listed says that the targets were read at least once.
	listed atomic.Bool

	mu     sync.Mutex
	keeper *roster.Tracker
	roster *route.TargetSnapshot
}

var _ platform.Listener = (*knowledge)(nil)

// TableChanged implements platform.Listener. An older configuration than the one in
// force is not used.
func (k *knowledge) TableChanged(t *route.Table) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.table.Load()
	if before != nil && t.Version <= before.Version {
		return
	}
	k.table.Store(t)
	k.logger.Info().Str(eventlog.FieldEvent, eventlog.EventTableApplied).Uint64(eventlog.FieldTableVersion, t.Version).
		Int("teams", len(t.Teams)).Int("pools", len(t.Pools)).Msg("Configuration is in force.")
	k.declare(time.Now())
}

// TargetsChanged implements platform.Listener.
func (k *knowledge) TargetsChanged(targets map[ident.Target]route.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.keeper.SetEntries(now, targets)
	k.listed.Store(true)
	k.refresh(now)
}

// StoreReachable implements platform.Listener.
func (k *knowledge) StoreReachable(answered bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.keeper.RecordStoreCall(now, answered)
	if answered {
		k.rosterConfirmed.set(now)
	}
}

// TableConfirmed implements platform.Listener.
func (k *knowledge) TableConfirmed() { k.tableConfirmed.set(time.Now()) }

// refresh brings the roster up to date, and does so again when missing targets
// count as gone. The mutex is held.
func (k *knowledge) refresh(now time.Time) {
	before := k.roster
	k.roster = k.keeper.Snapshot(now)
	k.logChanges(before)
	k.declare(now)
	if wait := k.keeper.UntilExpiry(now); wait > 0 {
		time.AfterFunc(wait, k.recheck)
	}
}

func (k *knowledge) recheck() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh(time.Now())
}

// logChanges writes a line for each target that came, went, or changed its state.
func (k *knowledge) logChanges(before *route.TargetSnapshot) {
	if before == nil {
		before = &route.TargetSnapshot{}
	}
	for name, t := range k.roster.Targets {
		if old, known := before.Targets[name]; !known || old != t {
			k.logTarget(t, targetState(t))
		}
	}
	for name, t := range before.Targets {
		if _, still := k.roster.Targets[name]; !still {
			k.logTarget(t, "gone")
		}
	}
}

func targetState(t route.Target) string {
	if t.Draining {
		return "leaving"
	}
	return "ready"
}

func (k *knowledge) logTarget(t route.Target, state string) {
	k.logger.Info().Str(eventlog.FieldEvent, eventlog.EventTargetChanged).
		Str(eventlog.FieldTarget, string(t.Name)).
		Str(eventlog.FieldPool, string(t.Pool)).
		Str("address", t.Address).Str("state", state).Msg("Target changed.")
}

// noticed writes a line for each target that begins or ends a rest.
func (k *knowledge) noticed(notices []schedule.HealthEvent) {
	for _, n := range notices {
		event, message := eventlog.EventTargetRestored, "Target is back."
		if n.Ejected {
			event, message = eventlog.EventTargetEjected, "Target rests."
		}
		k.logger.Info().Str(eventlog.FieldEvent, event).
			Str(eventlog.FieldTarget, string(n.Target)).
			Str(eventlog.FieldPool, string(n.Pool)).
			Str(eventlog.FieldCause, n.Cause).
			Int64(eventlog.FieldUntilMs, max(0, time.Until(n.Until).Milliseconds())).Msg(message)
	}
}

// declare hands the configuration and the roster on. The mutex is held.
func (k *knowledge) declare(now time.Time) {
	table := k.table.Load()
	if table == nil || k.roster == nil {
		return
	}
	k.exchange.SetNameIndex(hoststate.NewNameIndex(table, k.roster))
	k.dispatcher.Configure(now, table.Pools, k.roster)
}

// HostsChanged implements platform.Listener.
func (k *knowledge) HostsChanged(members []hoststate.Member) {
	others := slices.DeleteFunc(members, func(m hoststate.Member) bool { return m.Host == k.self.Host })
	group := hoststate.NewPeerSet(k.self, others)
	k.exchange.SetPeers(group)
	now := time.Now()
	k.quotas.SetPeers(now, group.Direct(), group.AggregatedCounts())
	k.dispatcher.SetPeerCount(now, len(others))
	k.retries.SetHostCount(len(others) + 1)
	k.logger.Info().Int("others", len(others)).Msg("Hosts changed.")
}

// hear takes in another host's state.
func (k *knowledge) hear(now time.Time, m hoststate.Message) {
	k.peers.hear(now, m.Host)
	if m.AggregateOf != "" {
		k.quotas.MergeDataCentre(now, m.AggregateOf, m.Host, m.Incarnation, m.TeamUsage)
		k.dispatcher.ApplyDataCentreState(now, m.AggregateOf, m.AggregatedHosts, m.Schedule)
		return
	}
	k.quotas.MergeHost(now, m.Host, m.Incarnation, m.TeamUsage)
	k.dispatcher.ApplyPeerState(now, m.Host, m.Schedule)
}

// compose returns this host's state for the others.
func (k *knowledge) compose(now time.Time) hoststate.Message {
	m := hoststate.Message{
		Host:      k.self.Host,
		Schedule:  k.dispatcher.LocalState(now),
		TeamUsage: k.quotas.HostUsage(now),
	}
	if table := k.table.Load(); table != nil {
		m.TableVersion = table.Version
	}
	return m
}

// composeSum returns the states of the hosts of this data centre, added up.
func (k *knowledge) composeSum(now time.Time) hoststate.Message {
	sum, hosts := k.dispatcher.AggregateState(now)
	return hoststate.Message{
		Host:            k.self.Host,
		AggregateOf:     k.self.DataCentre,
		AggregatedHosts: hosts,
		Schedule:        sum,
		TeamUsage:       k.quotas.DataCentreUsage(now),
	}
}

// ready returns why this host should get no callers yet, or nil.
func (k *knowledge) ready() error {
	switch {
	case k.table.Load() == nil:
		return Error.New("no configuration is known yet")
	case !k.listed.Load():
		return Error.New("the targets are not known yet")
	default:
		return nil
	}
}
