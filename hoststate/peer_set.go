package hoststate

import (
	"cmp"
	"slices"

	"github.com/cornelyard/cornelyard/ident"
)

// aggregateSenders is the number of hosts of a data centre that send its aggregate to
// the same remote host. With two, the failure of one leaves no gap.
const aggregateSenders = 2

// PeerSet holds the other hosts, split by what this host exchanges with them. Direct
// peers exchange their own states; of the other hosts, only the aggregate of their
// data centre is exchanged.
type PeerSet struct {
	direct     []Member
	aggregated []Member
	// aggregateReceivers are the aggregated hosts to which this host sends the
	// aggregate of its own data centre.
	aggregateReceivers []Member
}

// NewPeerSet splits members, the hosts other than self. All of them are direct peers
// if there are fewer than fullMeshHosts, otherwise only those in the same data centre.
func NewPeerSet(self Member, members []Member) *PeerSet {
	if len(members) < fullMeshHosts {
		return &PeerSet{direct: members}
	}
	p := &PeerSet{}
	for _, m := range members {
		if m.DataCentre == self.DataCentre {
			p.direct = append(p.direct, m)
		} else {
			p.aggregated = append(p.aggregated, m)
		}
	}
	p.aggregateReceivers = chooseAggregateReceivers(self, p.direct, p.aggregated)
	return p
}

// Direct returns the names of the direct peers.
func (p *PeerSet) Direct() []ident.Host {
	names := make([]ident.Host, 0, len(p.direct))
	for _, m := range p.direct {
		names = append(names, m.Host)
	}
	return names
}

// Aggregated returns the names of the hosts of which only aggregates are exchanged.
func (p *PeerSet) Aggregated() []ident.Host {
	names := make([]ident.Host, 0, len(p.aggregated))
	for _, m := range p.aggregated {
		names = append(names, m.Host)
	}
	return names
}

// AggregatedCounts returns the number of aggregated hosts in each data centre.
func (p *PeerSet) AggregatedCounts() map[ident.DataCentre]int {
	counts := make(map[ident.DataCentre]int)
	for _, m := range p.aggregated {
		counts[m.DataCentre]++
	}
	return counts
}

// chooseAggregateReceivers assigns the hosts of the other data centres to the hosts of
// the local one and returns those assigned to self. The result depends only on the set
// of members, so hosts with the same members agree on the assignment.
func chooseAggregateReceivers(self Member, direct, aggregated []Member) []Member {
	local := sortByHost(append(slices.Clone(direct), self))
	rank := slices.IndexFunc(local, func(m Member) bool { return m.Host == self.Host })
	var receivers []Member
	for _, remote := range groupByDataCentre(aggregated) {
		for i, m := range remote {
			if distance := (rank - i%len(local) + len(local)) % len(local); distance < aggregateSenders {
				receivers = append(receivers, m)
			}
		}
	}
	return receivers
}

func sortByHost(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

func groupByDataCentre(members []Member) map[ident.DataCentre][]Member {
	groups := make(map[ident.DataCentre][]Member)
	for _, m := range sortByHost(slices.Clone(members)) {
		groups[m.DataCentre] = append(groups[m.DataCentre], m)
	}
	return groups
}
