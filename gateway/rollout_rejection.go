package gateway

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/rollout"
)

// rejectInvalid stores the state of orders that can't be followed. It stays until an earlier order
// that is in progress ends, because the operator acts on that end.
func (g *Gateway) rejectInvalid(ctx context.Context, now time.Time) {
	r := g.state.rollouts
	for _, o := range r.invalid {
		if o.Version == "" || r.rejected[o.Pool] == o.ID || len(r.rejected) >= maxRolloutPools || !r.mayReject(now, &o) {
			continue
		}
		r.rejected[o.Pool] = o.ID
		p := r.pools[o.Pool]
		if p != nil {
			// The end of an earlier order must not be stored before the rejection.
			p.saving = true
		}
		go func() {
			err := g.directory.RejectOrder(ctx, o.Order)
			r.mu.Lock()
			defer r.mu.Unlock()
			if p != nil {
				p.saving = false
			}
			if err != nil {
				r.logger.Warn().Err(err).Str(eventlog.FieldPool, string(o.Pool)).Msg("Storing that an order is not valid failed; will retry.")
				delete(r.rejected, o.Pool)
			}
		}()
	}
}

// mayReject reports whether this host is to store the state of an invalid order now. Beside an
// order in progress, the host that decides on that one does, so that the two are stored in turn.
// After the end of that order the operator has seen the rejection.
func (r *rollouts) mayReject(now time.Time, o *rollout.InvalidOrder) bool {
	p := r.pools[o.Pool]
	switch {
	case p == nil || p.order.ID == (rollout.OrderID{}):
		return firstByHash(o.Pool, append(r.peers.activeHosts(now), r.self)) == r.self
	case p.saving:
		return false
	case p.announced().Phase == rollout.InProgress:
		return p.rejects(o) && r.first(now, p, o.Pool, r.self)
	case p.stored.Progress.Order == p.order.ID && p.stored.Revision > o.ID.Row:
		return false
	default:
		return firstByHash(o.Pool, append(r.peers.activeHosts(now), r.self)) == r.self
	}
}

// rejects reports whether an invalid order gets a state beside an order in progress. A state with
// the version of the latter would be taken for its end.
func (p *poolRollout) rejects(o *rollout.InvalidOrder) bool {
	return o.Version != "" && o.Version != p.order.Version
}

// rejectsBeside reports whether the operator is to see that an order is invalid while an earlier
// one is in progress.
func (r *rollouts) rejectsBeside(p *poolRollout, pool ident.Pool) bool {
	for i := range r.invalid {
		if o := &r.invalid[i]; o.Pool == pool && p.rejects(o) {
			return true
		}
	}
	return false
}
