package hoststate

import (
	"cmp"
	"slices"

	"github.com/cornelyard/cornelyard/ident"
)

// sumSenders is the number of hosts of a data centre that send its sum to one host
// elsewhere, so that the loss of one goes unnoticed.
const sumSenders = 2

// PeerSet says which other hosts are near and which are far. Near hosts tell each
// other their states; of far ones only the sum of their data centre is told.
type PeerSet struct {
	near []Member
	far  []Member
	// partners are the far hosts that this host tells the sum of its data centre.
	partners []Member
}

// NewPeerSet splits the members, which are the other hosts. Up to a number of hosts
// all of them are near; beyond that only those of the own data centre are.
func NewPeerSet(self Member, members []Member) *PeerSet {
	if len(members) < nearHosts {
		return &PeerSet{near: members}
	}
	g := &PeerSet{}
	for _, m := range members {
		if m.DataCentre == self.DataCentre {
			g.near = append(g.near, m)
		} else {
			g.far = append(g.far, m)
		}
	}
	g.partners = partners(self, g.near, g.far)
	return g
}

// Direct returns the names of the near hosts.
func (g *PeerSet) Direct() []ident.Host {
	names := make([]ident.Host, 0, len(g.near))
	for _, m := range g.near {
		names = append(names, m.Host)
	}
	return names
}

// AggregatedCounts returns the number of far hosts of each data centre.
func (g *PeerSet) AggregatedCounts() map[ident.DataCentre]int {
	counts := make(map[ident.DataCentre]int)
	for _, m := range g.far {
		counts[m.DataCentre]++
	}
	return counts
}

// partners spreads the far hosts over those of the own data centre. Every host
// comes to the same result from the same members.
func partners(self Member, near, far []Member) []Member {
	own := sortedHosts(append(slices.Clone(near), self))
	rank := slices.IndexFunc(own, func(m Member) bool { return m.Host == self.Host })
	var chosen []Member
	for _, others := range byDataCentre(far) {
		for i, m := range others {
			if distance := (rank - i%len(own) + len(own)) % len(own); distance < sumSenders {
				chosen = append(chosen, m)
			}
		}
	}
	return chosen
}

func sortedHosts(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

func byDataCentre(members []Member) map[ident.DataCentre][]Member {
	groups := make(map[ident.DataCentre][]Member)
	for _, m := range sortedHosts(slices.Clone(members)) {
		groups[m.DataCentre] = append(groups[m.DataCentre], m)
	}
	return groups
}
