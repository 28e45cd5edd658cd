package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/platform"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/relay"
	"github.com/cornelyard/cornelyard/retrybudget"
	"github.com/cornelyard/cornelyard/roster"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/streamversion"
)

const (
	// ruleTolerance is how long another host may hold newer rows of a table by which requests are
	// admitted and placed, before this one reads the changes: mostly, they are on their way.
	ruleTolerance = 500 * time.Millisecond
	// hostsTolerance is the same for the table of hosts, whose changes are read with a delay.
	hostsTolerance = 1200 * time.Millisecond
)

func outdatedTolerance(t freshness.Table) time.Duration {
	if t == freshness.Hosts {
		return hostsTolerance
	}
	return ruleTolerance
}

// clusterState is this host's view of the configuration, the targets and the other
// hosts. It passes each change on to the components that depend on it.
type clusterState struct {
	self        hoststate.Member
	dispatcher  *relay.Dispatcher
	exchange    *hoststate.Exchange
	quotas      *quota.Limiter
	retryBudget *retrybudget.Budget
	streams     *streamversion.Tracker
	peers       *peerMonitor
	crashes     *crashRecords
	// rollouts is nil if none are configured.
	rollouts *rollouts
	// lag compares the configuration with those of other hosts, and rereadTable has it read
	// again.
	lag         tableLag
	rereadTable func()
	logger      *log.Logger

	// freshness is how current the tables of the store are that this host holds, and readChanges
	// has the changes of one of them read. The reporters choose which messages state it.
	freshness         *freshness.Plan
	readChanges       func(freshness.Table)
	reporter          freshness.Reporter
	aggregateReporter freshness.Reporter

	table atomic.Pointer[route.Table]
	// tableUnreadable is set while the newest configuration can't be decoded.
	tableUnreadable atomic.Bool
	// storeReturns counts the returns of the store from an older copy.
	storeReturns atomic.Int64
	// targetsLoaded is set once the targets were read from the store.
	targetsLoaded atomic.Bool
	// crashesLoaded is set once the crashes were read from the store.
	crashesLoaded atomic.Bool

	mu            sync.Mutex
	targetTracker *roster.Tracker
	targets       *route.TargetSnapshot
	memberTracker memberTracker
	// members holds the hosts that were last applied.
	members []hoststate.Member
}

var _ platform.Listener = (*clusterState)(nil)

// TableChanged implements platform.Listener. It ignores a configuration that is not newer
// than the one in force.
func (s *clusterState) TableChanged(t *route.Table) {
	s.tableUnreadable.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.table.Load()
	if previous != nil && t.Version <= previous.Version {
		return
	}
	s.table.Store(t)
	s.lag.catchUp()
	s.logger.Info().Str(eventlog.FieldEvent, eventlog.EventTableApplied).Uint64(eventlog.FieldTableVersion, t.Version).
		Int("teams", len(t.Teams)).Int("pools", len(t.Pools)).Msg("Configuration applied.")
	s.streams.SetLongestTimeout(t.LongestTimeout())
	s.quotas.SetTeams(t.Teams)
	s.applyConfiguration(time.Now())
}

// TableUnreadable implements platform.Listener. The configuration in force stays so.
func (s *clusterState) TableUnreadable() { s.tableUnreadable.Store(true) }

// TargetsChanged implements platform.Listener.
func (s *clusterState) TargetsChanged(targets map[ident.Target]route.Target, gap bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if gap {
		s.streams.RecordGap(now)
	}
	s.targetTracker.SetEntries(now, targets)
	s.targetsLoaded.Store(true)
	s.refreshTargets(now)
}

// StoreReachable implements platform.Listener.
func (s *clusterState) StoreReachable(responded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetTracker.RecordStoreCall(time.Now(), responded)
}

// tableConfirmed is called when the rows of a table have been shown to be the newest at a moment, once
// they are applied.
func (s *clusterState) tableConfirmed(t freshness.Table, asOf time.Time) {
	if t == freshness.Targets {
		s.confirmTargets(asOf)
	}
}

// confirmTargets records that the entries of targets are known as of a moment.
func (s *clusterState) confirmTargets(asOf time.Time) {
	s.streams.ConfirmTargets(asOf)
	s.dispatcher.ConfirmTargets(asOf)
}

// tableCurrency returns how current the configuration in force is.
func (s *clusterState) tableCurrency(now time.Time) relay.TableCurrency {
	return relay.TableCurrency{
		Age:      s.freshness.Age(now, freshness.Configuration),
		Outdated: s.tableUnreadable.Load() || s.lag.behind() || s.freshness.Outdated(freshness.Configuration),
	}
}

// mergeTables compares the tables of the store with those of another host. If one stays different, its
// changes are read.
func (s *clusterState) mergeTables(now time.Time, from ident.Host, statements []freshness.Statement) {
	for _, t := range s.freshness.Merge(now, from, statements) {
		time.AfterFunc(outdatedTolerance(t), func() {
			if s.freshness.Outdated(t) {
				s.readChanges(t)
			}
		})
	}
}

// refreshTargets updates the target snapshot, and schedules another update for when
// targets that are missing from the store expire. The caller holds s.mu.
func (s *clusterState) refreshTargets(now time.Time) {
	previous := s.targets
	s.targets = s.targetTracker.Snapshot(now)
	s.logTargetChanges(previous)
	s.streams.SetTargets(now, s.targets.Targets)
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

// applyConfiguration passes the configuration and the target snapshot to the dispatcher
// and the state exchange. The caller holds s.mu.
func (s *clusterState) applyConfiguration(now time.Time) {
	table := s.table.Load()
	if table == nil || s.targets == nil || !s.rollouts.loaded() {
		return
	}
	s.exchange.SetNameIndex(hoststate.NewNameIndex(table, s.targets))
	s.dispatcher.Configure(now, table.Pools, s.targets)
	if s.rollouts != nil && s.dispatcher.TakeUnknownVersions() {
		s.rereadTable()
	}
}

// HostsChanged implements platform.Listener.
func (s *clusterState) HostsChanged(members []hoststate.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memberTracker.setListed(members)
	s.refreshMembers(time.Now())
}

// StoreReturned implements platform.Listener.
func (s *clusterState) StoreReturned() {
	s.storeReturns.Add(1)
	s.rollouts.forgetRevisions()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.targetTracker.RecordReturn(now)
	s.memberTracker.recordReturn(now)
}

// refreshMembers applies the set of hosts if it has changed, and schedules another update
// for when hosts that are missing in the store no longer count. The caller holds s.mu.
func (s *clusterState) refreshMembers(now time.Time) {
	members := s.memberTracker.members(now)
	if wait := s.memberTracker.untilExpiry(now); wait > 0 {
		time.AfterFunc(wait, s.expireMembers)
	}
	if s.members != nil && slices.Equal(s.members, members) {
		return
	}
	s.members = members
	others := othersThan(s.self.Host, members)
	peers := hoststate.NewPeerSet(s.self, others)
	s.exchange.SetPeers(peers)
	s.quotas.SetPeers(now, peers.Direct(), peers.AggregatedCounts())
	s.quotas.SetReportIntervals(peers.StateInterval(), peers.AggregateInterval())
	s.dispatcher.SetStateInterval(max(peers.StateInterval(), peers.AggregateInterval()))
	s.dispatcher.SetPeers(now, dataCentresOf(others))
	own, cells := peers.Cell()
	s.dispatcher.SetCell(now, own, cells)
	s.dispatcher.SetDistantHosts(peers.Aggregated())
	s.streams.SetHosts(now)
	s.retryBudget.SetHostCount(now, len(others)+1)
	s.logger.Info().Int("others", len(others)).Msg("Set of hosts changed.")
}

func (s *clusterState) expireMembers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshMembers(time.Now())
}

// handleMessage merges the state received from another host, or from the hosts of
// another data centre.
func (s *clusterState) handleMessage(now time.Time, m hoststate.Message) {
	s.peers.observe(now, m.Host)
	if table := s.table.Load(); table != nil && s.lag.observe(now, table.Version, m.TableVersion) {
		s.rereadTable()
	}
	s.mergeTables(now, m.Host, m.Tables)
	s.rollouts.receive(now, &m)
	if m.AggregateOf != "" {
		s.quotas.MergeDataCentre(now, m.AggregateOf, m.Host, m.Incarnation, m.TeamUsage)
		s.dispatcher.ApplyDataCentreState(now, m.AggregateOf, m.AggregatedHosts, m.Schedule)
		return
	}
	s.streams.Merge(now, m.Host, m.Streams)
	s.quotas.MergeHost(now, m.Host, m.Incarnation, m.TeamUsage)
	s.dispatcher.ApplyPeerState(now, m.Host, m.Schedule)
}

// localState returns this host's state to send to other hosts.
func (s *clusterState) localState(now time.Time) hoststate.Message {
	return hoststate.Message{
		Host:         s.self.Host,
		TableVersion: s.tableVersion(),
		Schedule:     s.dispatcher.LocalState(now),
		TeamUsage:    s.quotas.HostUsage(now),
		Streams:      s.streams.TakeReport(now),
		Rollouts:     s.rollouts.messages(now, false),
		Tables:       s.reporter.Take(now, s.freshness.OwnStatements),
	}
}

// tableVersion returns the version of the configuration in force, or 0 if there is none.
func (s *clusterState) tableVersion() uint64 {
	if table := s.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// member returns a registered host.
func (s *clusterState) member(host ident.Host) (hoststate.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.members, func(m hoststate.Member) bool { return m.Host == host })
	if i < 0 {
		return hoststate.Member{}, false
	}
	return s.members[i], true
}

// aggregateState returns the aggregate of the states of the hosts of this data centre.
func (s *clusterState) aggregateState(now time.Time) hoststate.Message {
	aggregate, hosts := s.dispatcher.AggregateState(now)
	return hoststate.Message{
		Host:            s.self.Host,
		TableVersion:    s.tableVersion(),
		Tables:          s.aggregateReporter.Take(now, s.freshness.Statements),
		AggregateOf:     s.self.DataCentre,
		AggregatedHosts: hosts,
		Schedule:        aggregate,
		TeamUsage:       s.quotas.DataCentreUsage(now),
		Rollouts:        s.rollouts.messages(now, true),
	}
}

// ready returns why this host can't serve callers yet, or nil.
func (s *clusterState) ready() error {
	switch {
	case s.table.Load() == nil:
		return Error.New("no configuration is known yet")
	case !s.targetsLoaded.Load():
		return Error.New("the targets are not known yet")
	case !s.crashesLoaded.Load():
		return Error.New("the crashes of targets are not known yet")
	case !s.rollouts.loaded():
		return Error.New("the rollouts are not known yet")
	default:
		return nil
	}
}
