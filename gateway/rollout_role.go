package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/rollout"
)

const (
	// storeErrorTime is how long after the store's last response the deciding host gives up its
	// role if calls fail, and storeSilenceTime the same if no call has ended. The latter is the
	// timeout of a call, so that a slow store does not move the role.
	storeErrorTime   = time.Second
	storeSilenceTime = 1500 * time.Millisecond
	// storeProbeInterval is the time between two reads of a host that gave up its role.
	storeProbeInterval = time.Second
	// saveTurn is how long the next host by hashing waits before it stores the end of a rollout
	// that the store lacks, maxSavers bounds the hosts that do, and saveInterval is the time
	// between two attempts of each but the first.
	saveTurn     = 1500 * time.Millisecond
	maxSavers    = 8
	saveInterval = time.Second
)

// rolloutRole is this host's part in the decisions on one order.
type rolloutRole struct {
	// since is when this host became the deciding one, or zero.
	since time.Time
	// lost says that this host gave up the role because the store did not respond.
	lost bool
}

// updateRole records whether this host decides, and gives up the role if the store does not
// respond. It reports whether this host decides.
func (r *rollouts) updateRole(now time.Time, p *poolRollout, pool ident.Pool) bool {
	first := r.first(now, p, pool, r.self)
	switch {
	case first && p.role.since.IsZero():
		p.role.since = now
		r.logRole(pool, p, "begun")
	case !first && !p.role.since.IsZero():
		p.role.since = time.Time{}
		r.logRole(pool, p, "ended")
	}
	if first && !p.role.lost && p.missesStore(now) {
		p.role.lost = true
		r.logRole(pool, p, "store-lost")
		r.onChange()
	}
	return first
}

// missesStore reports whether the store has not responded for too long since this host decides.
func (p *poolRollout) missesStore(now time.Time) bool {
	responded := p.confirmedAt
	if p.role.since.After(responded) {
		responded = p.role.since
	}
	if p.failedAt.After(responded) {
		return now.Sub(responded) > storeErrorTime
	}
	return now.Sub(responded) > storeSilenceTime
}

// regainStore is called when the store has responded. A host that had given up its role decides
// again only if no other host can, so that a link that fails again and again does not move the
// role each time.
func (r *rollouts) regainStore(now time.Time, p *poolRollout, pool ident.Pool) {
	if !p.role.lost || r.otherCanDecide(now, p) {
		return
	}
	p.role.lost = false
	r.logRole(pool, p, "store-regained")
	r.onChange()
}

// otherCanDecide reports whether a host to which the store responds, as far as known, sends
// rollouts.
func (r *rollouts) otherCanDecide(now time.Time, p *poolRollout) bool {
	for host, at := range p.receivedAt {
		if now.Sub(at) < peerTimeout && !p.storeLost[host] {
			return true
		}
	}
	return false
}

// readInterval returns the time between two reads of the stored progress.
func (p *poolRollout) readInterval(first bool) time.Duration {
	if first {
		return progressReadInterval
	}
	return storeProbeInterval
}

// confirmation returns what this host says about the share in force.
func (r *rollouts) confirmation(now time.Time, p *poolRollout, pool ident.Pool) hoststate.Confirmation {
	switch {
	case p.role.lost:
		return hoststate.StoreLost
	case r.first(now, p, pool, r.self) && now.Sub(p.confirmedAt) > confirmationTime:
		return hoststate.Unconfirmed
	default:
		return hoststate.Confirmed
	}
}

// first reports whether a host decides on the rollout of a pool: it is the first by rendezvous
// hashing of all hosts of which something was received, or of those that send rollouts. Hosts to
// which the store does not respond count only if it responds to none.
func (r *rollouts) first(now time.Time, p *poolRollout, pool ident.Pool, host ident.Host) bool {
	active := append(r.peers.activeHosts(now), r.self)
	supporters := make([]ident.Host, 0, len(active))
	for _, other := range active {
		if other == r.self || now.Sub(p.receivedAt[other]) < peerTimeout {
			supporters = append(supporters, other)
		}
	}
	if firstByHash(pool, r.withStore(p, active)) == host {
		return true
	}
	if len(supporters) == 1 && p.announced().Phase != rollout.InProgress {
		// Hosts send nothing about rollouts that ended long ago.
		return false
	}
	return now.Sub(p.orderAt) > supporterWait && firstByHash(pool, r.withStore(p, supporters)) == host
}

// withStore returns the hosts to which the store responds, or all if there is none.
func (r *rollouts) withStore(p *poolRollout, hosts []ident.Host) []ident.Host {
	able := make([]ident.Host, 0, len(hosts))
	for _, host := range hosts {
		lost := p.storeLost[host]
		if host == r.self {
			lost = p.role.lost
		}
		if !lost {
			able = append(able, host)
		}
	}
	if len(able) == 0 {
		return hosts
	}
	return able
}

// mayStoreEnd reports whether this host is to store the end of a rollout that the store lacks: at
// once if it decides, and otherwise when the hosts before it have had the time to do so.
func (r *rollouts) mayStoreEnd(now time.Time, p *poolRollout, pool ident.Pool) bool {
	if r.first(now, p, pool, r.self) {
		return true
	}
	before := 0
	own := hashOf(pool, r.self)
	for _, host := range r.peers.activeHosts(now) {
		if hashOf(pool, host) > own {
			before++
		}
	}
	return before < maxSavers && now.Sub(p.changedAt) > time.Duration(before)*saveTurn && now.Sub(p.savedAt) > saveInterval
}

// firstByHash returns the host with the highest hash together with the pool.
func firstByHash(pool ident.Pool, hosts []ident.Host) ident.Host {
	var best ident.Host
	var highest uint64
	for i, host := range hosts {
		if hash := hashOf(pool, host); i == 0 || hash > highest {
			best, highest = host, hash
		}
	}
	return best
}

func hashOf(pool ident.Pool, host ident.Host) uint64 {
	return xxhash.Sum64String(string(pool) + "\x00" + string(host))
}

func (r *rollouts) logRole(pool ident.Pool, p *poolRollout, result string) {
	r.logger.Info().Str(eventlog.FieldEvent, eventlog.EventRolloutDecider).Str(eventlog.FieldPool, string(pool)).
		Str(eventlog.FieldVersion, p.order.Version).Uint64(eventlog.FieldOrder, p.order.ID.Row).
		Str(eventlog.FieldResult, result).Msg("Part of this host in the decisions on a rollout has changed.")
}
