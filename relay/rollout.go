package relay

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/rollout"
	"github.com/cornelyard/cornelyard/schedule"
)

// EnableRollouts has targets of a new version wait until the orders were read.
func (d *Dispatcher) EnableRollouts() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.EnableRollouts()
}

// SetRollout sets the newest known progress of a pool's rollout, and whether it was confirmed
// now.
func (d *Dispatcher) SetRollout(now time.Time, pool ident.Pool, p rollout.Progress, fresh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.SetRollout(now, pool, p, fresh)
	d.deliverDecisions(now)
}

// BlockRollout has the pool's requests sent to the old targets.
func (d *Dispatcher) BlockRollout(pool ident.Pool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.BlockRollout(pool)
}

// ReleaseVersions ends the wait of targets of new versions for the orders.
func (d *Dispatcher) ReleaseVersions(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ReleaseVersions()
	d.deliverDecisions(now)
}

// TakeUnknownVersions reports whether targets of versions that were never seen before have
// appeared since the last call.
func (d *Dispatcher) TakeUnknownVersions() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.TakeUnknownVersions()
}

// RolloutReport returns this host's evidence about an order, or nil.
func (d *Dispatcher) RolloutReport(pool ident.Pool, order rollout.OrderID) rollout.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.RolloutReport(pool, order)
}

// RolloutLoad returns the load of the targets of both sides of a rollout.
func (d *Dispatcher) RolloutLoad(pool ident.Pool, version string) schedule.RolloutLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.RolloutLoad(pool, version)
}

// recordOutOfTime records that the deadline of a running request has passed.
func (d *Dispatcher) recordOutOfTime(id ident.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordOutOfTime(id)
}
