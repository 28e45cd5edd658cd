package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/relay"
	"github.com/cornelyard/cornelyard/rollout"
)

const (
	// rolloutReportTime is how long the end of a rollout is sent to other hosts.
	rolloutReportTime = 10 * time.Second
	// supporterWait is how long after an order hosts that send nothing about it still count for
	// the choice of the deciding host. Hosts of builds without rollouts never send anything.
	supporterWait = 600 * time.Millisecond
	// confirmationTime is how long after the store's last response the deciding host lets
	// others use the share in force.
	confirmationTime = time.Second
	// maxRolloutHosts bounds the hosts whose evidence on an order is kept; that of others is
	// ignored.
	maxRolloutHosts = 1024
	// maxRolloutPools bounds the pools with orders; further orders are ignored.
	maxRolloutPools = 256
)

// rollouts holds this host's knowledge of the orders and their progress. A nil *rollouts does
// nothing: rollouts are not configured.
type rollouts struct {
	self       ident.Host
	options    rollout.Options
	dispatcher *relay.Dispatcher
	peers      *peerMonitor
	logger     *log.Logger
	// onChange is called after a change that other hosts must learn of.
	onChange func()

	// ordersLoaded and progressLoaded are set once the orders and the stored progress were read.
	ordersLoaded   atomic.Bool
	progressLoaded atomic.Bool

	mu    sync.Mutex
	pools map[ident.Pool]*poolRollout
	// unresolved holds the orders that were read before the stored progress.
	unresolved []rollout.Order
	// invalid holds the orders that can't be followed, rejected those whose state was stored.
	invalid  []rollout.InvalidOrder
	rejected map[ident.Pool]rollout.OrderID
}

// loaded reports whether the orders and the stored progress were read.
func (r *rollouts) loaded() bool {
	return r == nil || r.ordersLoaded.Load() && r.progressLoaded.Load()
}

// pool returns the rollout of a pool, or nil if there are too many.
func (r *rollouts) pool(name ident.Pool) *poolRollout {
	p := r.pools[name]
	if p == nil && len(r.pools) < maxRolloutPools {
		p = &poolRollout{}
		p.begin(time.Time{}, rollout.Order{Pool: name}, r.options)
		r.pools[name] = p
	}
	return p
}

// setOrders applies the orders that were read. Before the stored progress is known, an order
// can't be distinguished from one that was written again after the store's return from an older copy.
func (r *rollouts) setOrders(now time.Time, orders []rollout.Order, invalid []rollout.InvalidOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalid = invalid
	r.unresolved = orders
	r.resolveOrders(now)
	r.ordersLoaded.Store(true)
}

// resolveOrders applies the orders that were read. The caller holds r.mu.
func (r *rollouts) resolveOrders(now time.Time) {
	if !r.progressLoaded.Load() {
		return
	}
	for i := range r.unresolved {
		if p := r.pool(r.unresolved[i].Pool); p != nil {
			r.setOrder(now, p, &r.unresolved[i])
		}
	}
	r.unresolved = nil
}

func (r *rollouts) setOrder(now time.Time, p *poolRollout, o *rollout.Order) {
	switch {
	case p.repeats(o):
		if o.ID != p.order.ID {
			p.alias = o.ID
		}
		p.order.Duration = o.Duration
		return
	case o.ID.Compare(p.order.ID) < 0, o.ID.Compare(p.alias) < 0:
		return
	}
	p.begin(now, *o, r.options)
	r.logOrder(o)
	r.dispatcher.SetRollout(now, o.Pool, p.announced(), false)
	r.onChange()
}

// setProgress applies the stored progress that was read.
func (r *rollouts) setProgress(now time.Time, stored []rollout.Stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range stored {
		if p := r.pool(stored[i].Pool); p != nil && stored[i].Revision > p.stored.Revision {
			r.applyStored(now, p, stored[i])
		}
	}
	r.progressLoaded.Store(true)
	r.resolveOrders(now)
}

// applyStored applies what the store holds of a pool's rollout. The caller holds r.mu.
func (r *rollouts) applyStored(now time.Time, p *poolRollout, stored rollout.Stored) {
	p.stored = stored
	r.merge(now, p, stored.Pool, stored.Progress)
	if p.order.Duration == 0 && p.order.ID == stored.Progress.Order {
		p.order.Duration = stored.Duration
	}
}

// forgetRevisions is called when the store has returned from an older copy.
func (r *rollouts) forgetRevisions() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		p.stored = rollout.Stored{}
	}
}

// merge applies a progress if it replaces the known one. The caller holds r.mu.
func (r *rollouts) merge(now time.Time, p *poolRollout, pool ident.Pool, next rollout.Progress) {
	if next == (rollout.Progress{}) || !p.supersededBy(next) {
		return
	}
	if next.Order != p.order.ID {
		p.begin(now, rollout.Order{ID: next.Order, Pool: pool, Version: next.Version}, r.options)
	}
	p.progress, p.changedAt = next, now
	r.logStep(pool, next)
	r.dispatcher.SetRollout(now, pool, next, false)
	r.onChange()
}

// receive merges what another host, or the hosts of another data centre, know of rollouts.
func (r *rollouts) receive(now time.Time, m *hoststate.Message) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range m.Rollouts {
		if p := r.pool(m.Rollouts[i].Pool); p != nil {
			r.receiveRollout(now, p, m, &m.Rollouts[i])
		}
	}
}

func (r *rollouts) receiveRollout(now time.Time, p *poolRollout, m *hoststate.Message, got *hoststate.Rollout) {
	confirmed := got.Confirmation == hoststate.Confirmed
	if confirmed {
		r.merge(now, p, got.Pool, got.Progress)
	}
	if got.Progress.Order != p.order.ID {
		return
	}
	p.record(now, m, got)
	if confirmed && got.Progress == p.current() && r.first(now, p, got.Pool, m.Host) {
		r.dispatcher.SetRollout(now, got.Pool, got.Progress, true)
	}
}

// record records the evidence of a message. Several hosts send the aggregate of a data centre, so
// its newest report replaces the one before, whatever process sent it.
func (p *poolRollout) record(now time.Time, m *hoststate.Message, got *hoststate.Rollout) {
	if _, known := p.receivedAt[m.Host]; !known && len(p.receivedAt) >= maxRolloutHosts {
		return
	}
	p.receivedAt[m.Host] = now
	if got.Confirmation == hoststate.StoreLost {
		p.storeLost[m.Host] = true
	} else {
		delete(p.storeLost, m.Host)
	}
	if m.AggregateOf != "" {
		p.evidence.Record("data centre "+string(m.AggregateOf), 0, got.Report)
		return
	}
	p.reports[m.Host] = got.Report
	p.evidence.Record(string(m.Host), m.Incarnation, got.Report)
}

// messages returns what this host sends of rollouts. The aggregate includes the evidence of the
// hosts that send their own state.
func (r *rollouts) messages(now time.Time, aggregate bool) []hoststate.Rollout {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var messages []hoststate.Rollout
	for pool, p := range r.pools {
		progress := p.announced()
		if p.order.ID == (rollout.OrderID{}) || progress.Phase != rollout.InProgress && now.Sub(p.changedAt) > rolloutReportTime {
			continue
		}
		confirmation := hoststate.Confirmed
		if progress.Phase == rollout.InProgress {
			confirmation = r.confirmation(now, p, pool)
		}
		report := r.dispatcher.RolloutReport(pool, p.order.ID)
		if aggregate {
			report = p.sum(report)
		}
		messages = append(messages, hoststate.Rollout{Pool: pool, Progress: progress, Confirmation: confirmation, Report: report})
	}
	return messages
}

// sum returns the evidence of this host and of those that send their own state.
func (p *poolRollout) sum(own rollout.Report) rollout.Report {
	var sum rollout.Evidence
	sum.Record("", 0, own)
	for host, report := range p.reports {
		sum.Record(string(host), 0, report)
	}
	return sum.Total()
}

func (r *rollouts) logOrder(o *rollout.Order) {
	r.logger.Info().Str(eventlog.FieldEvent, eventlog.EventRolloutOrdered).Str(eventlog.FieldPool, string(o.Pool)).
		Str(eventlog.FieldVersion, o.Version).Uint64(eventlog.FieldOrder, o.ID.Row).
		Int64(eventlog.FieldDeadlineMs, o.Duration.Milliseconds()).Msg("Rollout of a version was ordered.")
}

func (r *rollouts) logStep(pool ident.Pool, p rollout.Progress) {
	event, message := eventlog.EventRolloutStep, "Rollout takes another step."
	if p.Phase != rollout.InProgress {
		event, message = eventlog.EventRolloutEnded, "Rollout has ended."
	}
	r.logger.Info().Str(eventlog.FieldEvent, event).Str(eventlog.FieldPool, string(pool)).
		Str(eventlog.FieldVersion, p.Version).Uint64(eventlog.FieldOrder, p.Order.Row).Stringer(eventlog.FieldPhase, p.Phase).
		Int(eventlog.FieldStep, p.Step).Int(eventlog.FieldShareMilli, p.ShareMilli).Msg(message)
}

// logVerdict logs a judgement with its evidence, unless it is the same as the last one.
func (r *rollouts) logVerdict(pool ident.Pool, p *poolRollout, v *rollout.Verdict) {
	if v.Outcome == p.outcome {
		return
	}
	p.outcome = v.Outcome
	entry := r.logger.Info().Str(eventlog.FieldEvent, eventlog.EventRolloutJudged).Str(eventlog.FieldPool, string(pool)).
		Str(eventlog.FieldVersion, p.order.Version).Stringer(eventlog.FieldResult, v.Outcome).Stringer(eventlog.FieldReason, v.Reason)
	if !v.AllRoutes {
		entry = entry.Uint64(eventlog.FieldRouteHash, uint64(v.Route))
	}
	entry.Int("old_successes", v.Old.Successes).Int("old_failures", v.Old.Failures).
		Int("new_successes", v.New.Successes).Int("new_failures", v.New.Failures).Msg("Version that is rolled out was judged.")
}
