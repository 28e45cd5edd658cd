package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/ident"
)

// memberGrace is how long after the store's return from an older copy a host that is missing
// there still counts. By then every host that lives has registered again.
const memberGrace = 3 * time.Second

// memberTracker keeps the set of hosts while the store lacks some of them. A smaller set
// would enlarge each host's share of the quotas and of the retry budget.
type memberTracker struct {
	// listed holds the hosts in the store, known those that count.
	listed []hoststate.Member
	known  []hoststate.Member
	// returnedAt is when the store returned from an older copy, or zero.
	returnedAt time.Time
}

// recordReturn records that the store has returned from an older copy.
func (t *memberTracker) recordReturn(now time.Time) { t.returnedAt = now }

// setListed sets the hosts in the store.
func (t *memberTracker) setListed(members []hoststate.Member) { t.listed = members }

// members returns the hosts that count, sorted by name.
func (t *memberTracker) members(now time.Time) []hoststate.Member {
	members := slices.Clone(t.listed)
	if t.untilExpiry(now) > 0 {
		for _, m := range t.known {
			if !slices.ContainsFunc(members, func(other hoststate.Member) bool { return other.Host == m.Host }) {
				members = append(members, m)
			}
		}
	}
	slices.SortFunc(members, func(a, b hoststate.Member) int { return cmp.Compare(a.Host, b.Host) })
	t.known = members
	return members
}

// untilExpiry returns the time until hosts that are missing in the store no longer count, or
// zero.
func (t *memberTracker) untilExpiry(now time.Time) time.Duration {
	if t.returnedAt.IsZero() {
		return 0
	}
	return max(memberGrace-now.Sub(t.returnedAt), 0)
}

// othersThan returns the members without the named host.
func othersThan(self ident.Host, members []hoststate.Member) []hoststate.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m hoststate.Member) bool { return m.Host == self })
}

// dataCentresOf returns the data centre of each member.
func dataCentresOf(members []hoststate.Member) map[ident.Host]ident.DataCentre {
	dataCentres := make(map[ident.Host]ident.DataCentre, len(members))
	for _, m := range members {
		dataCentres[m.Host] = m.DataCentre
	}
	return dataCentres
}
