package hoststate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/cell"
	"github.com/cornelyard/cornelyard/ident"
)

// farIntervalPerHost is the time between two messages to the far peers for each of them,
// which bounds the messages that all far peers together send to one host.
const farIntervalPerHost = 5 * time.Millisecond

// aggregateSenders is the number of hosts of a data centre that send its aggregate to
// the same remote host. With two, the failure of one leaves no gap.
const aggregateSenders = 2

// PeerSet holds the other hosts, split by what this host exchanges with them. Direct
// peers exchange their own states: near ones, which are in the same cell, after each change,
// far ones at intervals. Of the other hosts, only the aggregate of their data centre is
// exchanged.
type PeerSet struct {
	near       []Member
	far        []Member
	aggregated []Member
	// cell is this host's cell among the cells of its data centre.
	cell  int
	cells int
	// aggregateReceivers are the aggregated hosts to which this host sends the
	// aggregate of its own data centre.
	aggregateReceivers []Member
}

// NewPeerSet splits members, the hosts other than self. All of them are near peers if there
// are fewer than fullMeshHosts. Otherwise only those in the same data centre are direct
// peers, and of these only those of the same cell are near ones.
func NewPeerSet(self Member, members []Member) *PeerSet {
	p := &PeerSet{cells: 1}
	if len(members) < fullMeshHosts {
		p.near = members
		return p
	}
	var direct []Member
	for _, m := range members {
		if m.DataCentre == self.DataCentre {
			direct = append(direct, m)
		} else {
			p.aggregated = append(p.aggregated, m)
		}
	}
	p.splitCells(self, direct)
	p.aggregateReceivers = chooseAggregateReceivers(self, direct, p.aggregated)
	return p
}

// splitCells splits the direct peers by cell.
func (p *PeerSet) splitCells(self Member, direct []Member) {
	names := []ident.Host{self.Host}
	for _, m := range direct {
		names = append(names, m.Host)
	}
	p.cells = cell.Count(len(names))
	cells := cell.Divide(names, p.cells)
	p.cell = cells[self.Host]
	for _, m := range direct {
		if cells[m.Host] == p.cell {
			p.near = append(p.near, m)
		} else {
			p.far = append(p.far, m)
		}
	}
}

// Direct returns the names of the direct peers.
func (p *PeerSet) Direct() []ident.Host {
	names := make([]ident.Host, 0, len(p.near)+len(p.far))
	for _, m := range p.near {
		names = append(names, m.Host)
	}
	for _, m := range p.far {
		names = append(names, m.Host)
	}
	return names
}

// Cell returns this host's cell and the number of cells of its data centre.
func (p *PeerSet) Cell() (cell, cells int) { return p.cell, p.cells }

// nearInterval returns the least time between two messages to the near peers, which in a divided
// system is shorter while requests wait for capacity.
func (p *PeerSet) nearInterval(pressure bool) time.Duration {
	near := time.Duration(len(p.near))
	if p.fullMesh() || pressure {
		return max(minSendInterval, near*sendIntervalPerHost)
	}
	return max(minSendInterval, min(near*cellIntervalPerHost, maxCellInterval))
}

// fullMesh reports whether all hosts exchange their states with each other after each change.
func (p *PeerSet) fullMesh() bool { return len(p.far) == 0 && len(p.aggregated) == 0 }

// farInterval returns the longest time between two messages to the far peers. It is not shorter than
// that of heartbeats, after which hosts count a state as up to date in any case.
func (p *PeerSet) farInterval() time.Duration {
	return max(heartbeatInterval, time.Duration(len(p.far))*farIntervalPerHost)
}

// minFarInterval is the least time between two messages to the far peers, if there are changes
// for the near ones. A message that the next opportunity would delay beyond farInterval is sent
// earlier.
func (p *PeerSet) minFarInterval() time.Duration {
	return max(heartbeatInterval-p.nearInterval(false), time.Duration(len(p.far))*farIntervalPerHost)
}

// StateInterval returns the longest regular time between two messages from a direct peer.
func (p *PeerSet) StateInterval() time.Duration { return max(heartbeatInterval, p.farInterval()) }

// AggregateInterval returns the time between two aggregates from the same host. It bounds
// the aggregates that the hosts of all other data centres send to this one.
func (p *PeerSet) AggregateInterval() time.Duration {
	dataCentres := time.Duration(len(p.AggregatedCounts()))
	return max(minAggregateInterval, dataCentres*aggregateIntervalPerDataCentre)
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
