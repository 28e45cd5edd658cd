package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
)

// plan lists the members to which this host keeps sessions: all of its own data
// centre, and a few of each other one.
func plan(v *membership.View) []membership.Member {
	var planned []membership.Member
	remote := make(map[ident.DataCentre][]membership.Member)
	for _, m := range v.Members {
		switch {
		case m.Host == v.Self.Host || m.PeerAddress == "":
		case m.DataCentre == v.Self.DataCentre:
			planned = append(planned, m)
		default:
			remote[m.DataCentre] = append(remote[m.DataCentre], m)
		}
	}
	for _, members := range remote {
		planned = append(planned, chooseRemote(v.Self.Host, members)...)
	}
	return planned
}

// chooseRemote picks the links to one other data centre by rendezvous hashing,
// so that the hosts of this one spread over the hosts of that one. While none of
// them is alive it tries more of them.
func chooseRemote(self ident.Host, members []membership.Member) []membership.Member {
	usable := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.State == membership.Dead || m.Leaving
	})
	links := remoteLinks
	if len(usable) == 0 {
		usable = slices.Clone(members)
		links = lostRemoteLinks
	}
	slices.SortFunc(usable, func(a, b membership.Member) int {
		return cmp.Compare(linkScore(self, b.Host), linkScore(self, a.Host))
	})
	return usable[:min(links, len(usable))]
}

func linkScore(self, other ident.Host) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(other))
}
