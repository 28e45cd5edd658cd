package gateway

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/rollout"
)

const (
	// rolloutInterval is the time between two decisions on a rollout.
	rolloutInterval = 100 * time.Millisecond
	// progressReadInterval is the time between two reads of the stored progress by the deciding
	// host, which shows that it reaches the store.
	progressReadInterval = 500 * time.Millisecond
)

// newRollouts returns the rollouts of this host, or nil if none are configured.
func (g *Gateway) newRollouts(state *clusterState) *rollouts {
	c := g.config.Rollout
	if c == nil {
		return nil
	}
	state.dispatcher.EnableRollouts()
	return &rollouts{
		self: g.config.Host,
		options: rollout.Options{
			ExposureShare: c.ExposureShare, ExposureAllowance: c.ExposureAllowance, RollbackTime: c.RollbackTime.Std(),
		},
		dispatcher: state.dispatcher,
		peers:      state.peers,
		logger:     g.logs.For("rollout"),
		onChange:   func() { state.exchange.TriggerSend() },
		pools:      make(map[ident.Pool]*poolRollout),
		rejected:   make(map[ident.Pool]rollout.OrderID),
	}
}

// decideRollouts decides on the rollouts for which this host is the deciding one, until ctx is
// done.
func (g *Gateway) decideRollouts(ctx context.Context) error {
	if g.state.rollouts == nil {
		<-ctx.Done()
		return nil
	}
	return periodic.Run(ctx, rolloutInterval, func(now time.Time) {
		r := g.state.rollouts
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.loaded() {
			return
		}
		for pool, p := range r.pools {
			g.updateRollout(ctx, now, pool, p)
		}
		g.rejectInvalid(ctx, now)
	})
}

// updateRollout records this host's evidence and, on the deciding host, takes the next step. The
// caller holds the lock of the rollouts, as do those of the methods below.
func (g *Gateway) updateRollout(ctx context.Context, now time.Time, pool ident.Pool, p *poolRollout) {
	r := g.state.rollouts
	if p.order.ID == (rollout.OrderID{}) {
		return
	}
	inProgress := p.announced().Phase == rollout.InProgress
	if inProgress {
		r.recordOwn(pool, p)
	}
	if !inProgress {
		if p.unstored() && r.mayStoreEnd(now, p, pool) {
			g.saveProgress(ctx, now, pool, p, p.current())
		}
		return
	}
	first := r.updateRole(now, p, pool)
	if !first && !p.role.lost {
		return
	}
	g.refreshProgress(ctx, now, pool, p, p.readInterval(first))
	g.decide(ctx, now, pool, p, first)
	if first && p.unstored() {
		g.saveProgress(ctx, now, pool, p, p.current())
	}
}

// recordOwn records this host's own evidence. If that is against the version, this host sends it
// nothing more, without waiting for the deciding host.
func (r *rollouts) recordOwn(pool ident.Pool, p *poolRollout) {
	own := r.dispatcher.RolloutReport(pool, p.order.ID)
	p.evidence.Record(string(r.self), 0, own)
	if p.blocked || rollout.Judge(own).Outcome != rollout.Bad {
		return
	}
	p.blocked = true
	r.dispatcher.BlockRollout(pool)
}

// decide takes the next step of a rollout. Steps forward are stored before they are applied; a
// rollback takes effect at once. A host that gave up its role still takes a version back that its
// evidence is against, because the host that follows knows only what it received since then.
func (g *Gateway) decide(ctx context.Context, now time.Time, pool ident.Pool, p *poolRollout, first bool) {
	r := g.state.rollouts
	storeMs := g.directory.NowMs(now)
	if storeMs == 0 || p.order.Duration == 0 {
		return
	}
	load := r.dispatcher.RolloutLoad(pool, p.order.Version)
	next, changed, verdict := p.controller.Decide(now, rollout.Situation{
		Order: p.order, Progress: p.current(), NowMs: storeMs, Evidence: p.evidence.Total(),
		OldRunning: load.OldRunning, Candidates: load.Candidates, OldTargets: load.OldTargets,
		CandidateSlots: load.CandidateSlots, OldSlots: load.OldSlots,
	})
	r.logVerdict(pool, p, &verdict)
	switch {
	case !changed:
	case !first && (next.Phase != rollout.RolledBack || verdict.Reason == rollout.ReasonDeadline):
	case next.Phase == rollout.RolledBack:
		r.merge(now, p, pool, next)
	default:
		g.saveProgress(ctx, now, pool, p, next)
	}
}

// saveProgress stores a progress and then applies what the store holds.
func (g *Gateway) saveProgress(ctx context.Context, now time.Time, pool ident.Pool, p *poolRollout, next rollout.Progress) {
	if p.saving {
		return
	}
	r := g.state.rollouts
	p.saving, p.savedAt = true, now
	saved := rollout.Stored{Pool: pool, Progress: next, Duration: p.order.Duration, Revision: p.stored.Revision}
	saved.KeepsState = next.Phase == rollout.InProgress && r.rejectsBeside(p, pool)
	go func() {
		stored, err := g.directory.SaveProgress(ctx, saved)
		r.mu.Lock()
		defer r.mu.Unlock()
		p.saving = false
		g.applyCall(time.Now(), pool, p, stored, err)
	}()
}

// refreshProgress reads the stored progress at intervals, and lets this host use the share in
// force while the store responds.
func (g *Gateway) refreshProgress(ctx context.Context, now time.Time, pool ident.Pool, p *poolRollout, interval time.Duration) {
	if p.reading || p.saving || now.Sub(p.readAt) < interval {
		return
	}
	p.reading, p.readAt = true, now
	go func() {
		stored, err := g.directory.ReadProgress(ctx, pool)
		r := g.state.rollouts
		r.mu.Lock()
		defer r.mu.Unlock()
		p.reading = false
		g.applyCall(time.Now(), pool, p, stored, err)
	}()
}

// applyCall applies the result of a call to the store. After an error the row is read again.
func (g *Gateway) applyCall(now time.Time, pool ident.Pool, p *poolRollout, stored rollout.Stored, err error) {
	r := g.state.rollouts
	if err != nil {
		p.failedAt = now
		if !p.role.lost {
			p.readAt = time.Time{}
		}
		r.logger.Warn().Err(err).Str(eventlog.FieldPool, string(pool)).Msg("Store call for a rollout failed; will retry.")
		return
	}
	if stored.Revision >= p.stored.Revision || stored.Revision == 0 {
		r.applyStored(now, p, stored)
	}
	p.confirmedAt = now
	r.regainStore(now, p, pool)
	if current := p.current(); current.Phase == rollout.InProgress {
		r.dispatcher.SetRollout(now, pool, current, true)
		r.onChange()
	}
}

// updateRolloutGauges updates the gauges of rollouts.
func (g *Gateway) updateRolloutGauges() {
	r := g.state.rollouts
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for pool, p := range r.pools {
		tags := map[string]string{metrics.TagPool: string(pool), metrics.TagVersion: p.order.Version}
		scope := g.metrics.Scope.Tagged(tags)
		var candidates rollout.Counts
		for key, counts := range r.dispatcher.RolloutReport(pool, p.order.ID) {
			if key.Side == rollout.New {
				candidates.Add(counts)
			}
		}
		scope.Gauge(metrics.GatewayRolloutRequests).Update(float64(candidates.Dispatched))
		scope.Gauge(metrics.GatewayRolloutFailures).Update(float64(candidates.Failures))
		scope.Gauge(metrics.GatewayRolloutShare).Update(float64(p.announced().ShareMilli) / 1000)
	}
}

// RolloutsChanged implements platform.Listener.
func (s *clusterState) RolloutsChanged(orders []rollout.Order, invalid []rollout.InvalidOrder) {
	if s.rollouts == nil {
		return
	}
	now := time.Now()
	before := s.rollouts.loaded()
	s.rollouts.setOrders(now, orders, invalid)
	s.dispatcher.ReleaseVersions(now)
	s.applyOnceLoaded(now, before)
}

// ProgressChanged implements platform.Listener.
func (s *clusterState) ProgressChanged(stored []rollout.Stored) {
	if s.rollouts == nil {
		return
	}
	now := time.Now()
	before := s.rollouts.loaded()
	s.rollouts.setProgress(now, stored)
	s.applyOnceLoaded(now, before)
}

// applyOnceLoaded applies the configuration that has waited for the rollouts.
func (s *clusterState) applyOnceLoaded(now time.Time, before bool) {
	if before || !s.rollouts.loaded() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyConfiguration(now)
}
