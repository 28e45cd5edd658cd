package relay

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// Configure applies a configuration and a target snapshot.
func (d *Dispatcher) Configure(now time.Time, pools map[ident.Pool]*route.Pool, targets *route.TargetSnapshot) {
	d.update(now, func(s *schedule.Scheduler) { s.Configure(now, pools, targets) })
}

// SetPeers sets the other hosts with their data centres.
func (d *Dispatcher) SetPeers(now time.Time, others map[ident.Host]ident.DataCentre) {
	d.update(now, func(s *schedule.Scheduler) { s.SetPeers(now, others) })
}

// SetCell sets this host's cell and the number of cells of its data centre.
func (d *Dispatcher) SetCell(now time.Time, own, cells int) {
	d.update(now, func(s *schedule.Scheduler) { s.SetCell(own, cells) })
}

// SetStateInterval sets the longest regular time between two states of another host, or
// between two aggregate states of another data centre.
func (d *Dispatcher) SetStateInterval(interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.SetStateInterval(interval)
}

// ConfirmTargets records that the entries of targets are known as of a moment.
func (d *Dispatcher) ConfirmTargets(asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ConfirmTargets(asOf)
}

// entriesDue reports whether no target is certain to have a software version, but one may be once the
// entries of targets are read.
func (d *Dispatcher) entriesDue(pool ident.Pool, version string, excluded []ident.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.EntriesDue(time.Now(), pool, version, excluded)
}

// takeEntryRead reports whether the entries of targets are to be read, because a stream began at one in
// doubt.
func (d *Dispatcher) takeEntryRead(began ident.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.TakeEntryRead(time.Now(), began)
}

// mayHaveRestarted reports whether the target may run another process than that of the entry.
func (d *Dispatcher) mayHaveRestarted(entry route.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.MayHaveRestarted(entry)
}

// SetLeaving records that this host is stopping and has no time for requests after stopAt.
func (d *Dispatcher) SetLeaving(now, stopAt time.Time) {
	d.update(now, func(s *schedule.Scheduler) { s.SetLeaving(stopAt) })
}

// ApplyPeerState merges the state received from another host.
func (d *Dispatcher) ApplyPeerState(now time.Time, host ident.Host, state schedule.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ApplyPeerState(now, host, state)
	if d.scheduler.Queued() > 0 {
		d.deliverDecisions(now)
		d.reportQueue()
	}
}

// ApplyDataCentreState merges the aggregate state of the hosts of another data
// centre.
func (d *Dispatcher) ApplyDataCentreState(now time.Time, dc ident.DataCentre, hosts int, sum schedule.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ApplyDataCentreState(now, dc, hosts, sum)
	if d.scheduler.Queued() > 0 {
		d.deliverDecisions(now)
		d.reportQueue()
	}
}

// SetDistantHosts sets the other hosts that send this one no state of their own.
func (d *Dispatcher) SetDistantHosts(hosts []ident.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.SetDistantHosts(hosts)
}

// SilentPools returns the pools of which this host may reach no target, and those of which it
// is known to reach none.
func (d *Dispatcher) SilentPools(now time.Time) []ident.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(d.scheduler.SilentPools(now), d.scheduler.CutOffPools()...)
}

// Unheard reports whether this host is cut off from a pool although its targets accept
// connections.
func (d *Dispatcher) Unheard(now time.Time, pool ident.Pool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Unheard(now, pool)
}

// ProbeCandidates returns up to n available targets of a pool, a random choice.
func (d *Dispatcher) ProbeCandidates(pool ident.Pool, n int) []route.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.ProbeCandidates(pool, n)
}

// SetCutOff sets whether this host reaches no target of a pool.
func (d *Dispatcher) SetCutOff(now time.Time, pool ident.Pool, cutOff bool) (changed bool) {
	d.update(now, func(s *schedule.Scheduler) { changed = s.SetCutOff(now, pool, cutOff) })
	return changed
}

// passesOn reports whether requests for a pool are passed on to other hosts.
func (d *Dispatcher) passesOn(now time.Time, pool ident.Pool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.PassesOn(now, pool)
}

// AggregateState returns the aggregate state of this host and its direct peers, and
// the number of these hosts.
func (d *Dispatcher) AggregateState(now time.Time) (schedule.State, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.AggregateState(now)
}

// LocalState returns this host's state to send to other hosts.
func (d *Dispatcher) LocalState(now time.Time) schedule.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.LocalState(now)
}
