package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
)

// plannedMembers lists the members to which this host maintains sessions: all in its
// own data centre, and a few in each other one.
func plannedMembers(v *membership.View) []membership.Member {
	var members []membership.Member
	remoteMembers := make(map[ident.DataCentre][]membership.Member)
	for _, m := range v.Members {
		switch {
		case m.Host == v.Self.Host || m.PeerAddress == "":
		case m.DataCentre == v.Self.DataCentre:
			members = append(members, m)
		default:
			remoteMembers[m.DataCentre] = append(remoteMembers[m.DataCentre], m)
		}
	}
	for _, candidates := range remoteMembers {
		members = append(members, selectRemoteMembers(v.Self.Host, candidates)...)
	}
	return members
}

// selectRemoteMembers selects the members of one other data centre to connect to by
// rendezvous hashing, so that the links of this data centre's hosts are spread over
// the other's hosts. If none of them is usable, it selects more of them, dead and
// leaving ones included.
func selectRemoteMembers(self ident.Host, members []membership.Member) []membership.Member {
	candidates := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.State == membership.Dead || m.Leaving
	})
	count := remoteLinksPerDataCentre
	if len(candidates) == 0 {
		candidates = slices.Clone(members)
		count = remoteLinksIfNoneAlive
	}
	slices.SortFunc(candidates, func(a, b membership.Member) int {
		return cmp.Compare(rendezvousScore(self, b.Host), rendezvousScore(self, a.Host))
	})
	return candidates[:min(count, len(candidates))]
}

func rendezvousScore(self, other ident.Host) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(other))
}
