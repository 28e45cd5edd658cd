package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/fairshare"
)

const (
	// maxTeamLoads bounds the teams of a pool in one state; those with the largest loads are
	// reported.
	maxTeamLoads = 64
	// minTeamLoad is the least load that is reported, the resolution of messages.
	minTeamLoad = time.Millisecond
)

// teamLoads returns the loads of this host's teams while the capacity of the pool is scarce.
func (p *pool) teamLoads(now time.Time) []TeamLoad {
	if !p.shares.scarce(now) {
		return nil
	}
	own := p.shares.accounts.Own
	if p.shares.rated {
		own = p.control.rates.Own
	}
	var list []TeamLoad
	for key, load := range own(now) {
		l := TeamLoad{Pool: p.name, Team: key.Team, Rank: Rank{Team: key.TeamRank, Route: key.RouteRank}, Used: seconds(load.Used)}
		if p.shares.short(now) {
			l.Queued = max(seconds(load.Queued), minTeamLoad)
		}
		if l.Used+l.Queued >= minTeamLoad {
			list = append(list, l)
		}
	}
	return largestLoads(list)
}

// largestLoads returns the largest loads, in an order that doesn't depend on that of a map.
func largestLoads(list []TeamLoad) []TeamLoad {
	slices.SortFunc(list, func(a, b TeamLoad) int {
		return cmp.Or(
			cmp.Compare(b.Used+b.Queued, a.Used+a.Queued), a.Rank.Compare(b.Rank), cmp.Compare(a.Team, b.Team),
		)
	})
	return list[:min(len(list), maxTeamLoads)]
}

// applyTeamLoads records that the loads of a host have changed and whether it found capacity to
// be scarce.
func (s *Scheduler) applyTeamLoads(now time.Time, from *peerState) {
	for i := range from.state.TeamLoads {
		load := &from.state.TeamLoads[i]
		shares := &s.poolOf(load.Pool).shares
		if load.Queued > 0 {
			shares.peerShortageUntil = now.Add(scarcityHold)
		}
	}
	for _, p := range s.pools {
		p.shares.peersChanged = true
	}
}

// peerTeamLoads returns the loads of the other hosts' teams in a pool, and the number of hosts that
// report any.
func (s *Scheduler) peerTeamLoads(now time.Time, p *pool) (totals map[fairshare.Key]fairshare.Load, hosts int) {
	totals = make(map[fairshare.Key]fairshare.Load)
	for peer := range s.peerStates() {
		age := now.Sub(peer.receivedAt)
		reports := false
		for _, l := range peer.state.TeamLoads {
			if l.Pool != p.name {
				continue
			}
			reports = true
			key := fairshare.Key{TeamRank: l.Rank.Team, RouteRank: l.Rank.Route, Team: l.Team}
			total := totals[key]
			total.Used += fairshare.Decayed(l.Used.Seconds(), age)
			if age < s.stateTTL {
				total.Queued += l.Queued.Seconds()
			}
			totals[key] = total
		}
		if reports {
			hosts += peer.hosts
		}
	}
	return totals, hosts
}

// directTeamLoads returns the loads of the teams at this host and its direct peers.
func (s *Scheduler) directTeamLoads(now time.Time) []TeamLoad {
	type key struct {
		account fairshare.Key
		pool    *pool
	}
	totals := make(map[key]TeamLoad)
	add := func(list []TeamLoad, age time.Duration) {
		for _, l := range list {
			account := fairshare.Key{TeamRank: l.Rank.Team, RouteRank: l.Rank.Route, Team: l.Team}
			k := key{account, s.poolOf(l.Pool)}
			before := totals[k]
			l.Used = before.Used + seconds(fairshare.Decayed(l.Used.Seconds(), age))
			l.Queued += before.Queued
			totals[k] = l
		}
	}
	for _, p := range s.pools {
		add(p.teamLoads(now), 0)
	}
	for peer := range s.directPeerStates() {
		if age := now.Sub(peer.receivedAt); age < s.stateTTL {
			add(peer.state.TeamLoads, age)
		}
	}
	byPool := make(map[*pool][]TeamLoad)
	for k, total := range totals {
		byPool[k.pool] = append(byPool[k.pool], total)
	}
	var list []TeamLoad
	for _, p := range s.poolOrder {
		list = append(list, largestLoads(byPool[p])...)
	}
	return list
}
