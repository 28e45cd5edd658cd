package hoststate

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// membersOf returns hosts that are spread evenly over data centres.
func membersOf(hosts, dataCentres int) []Member {
	members := make([]Member, hosts)
	for i := range members {
		members[i] = Member{
			Host:       ident.Host(fmt.Sprintf("edge-%d", i)),
			DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)),
		}
	}
	return members
}

func TestMessagesOfOtherCellsAreBoundedWhateverTheNumberOfHosts(t *testing.T) {
	const (
		maxFarPerSecond        = 200.0
		maxAggregatesPerSecond = 51.0
		maxNear                = 12
	)
	for _, hosts := range []int{60, 295, 1000} {
		members := membersOf(hosts, 6)
		p := NewPeerSet(members[0], members[1:])
		if len(p.near) > maxNear {
			t.Errorf("%d hosts: %d near peers, want at most %d", hosts, len(p.near), maxNear)
		}
		if perSecond := perSecond(len(p.far), p.farInterval()); perSecond > maxFarPerSecond {
			t.Errorf("%d hosts: far peers send %.0f messages per second, want at most %.0f", hosts, perSecond, maxFarPerSecond)
		}
		senders := aggregateSenders * len(p.AggregatedCounts())
		if perSecond := perSecond(senders, p.AggregateInterval()); perSecond > maxAggregatesPerSecond {
			t.Errorf("%d hosts: %.0f aggregates per second, want at most %.0f", hosts, perSecond, maxAggregatesPerSecond)
		}
	}
}

func perSecond(senders int, interval time.Duration) float64 {
	if senders == 0 {
		return 0
	}
	return float64(senders) / interval.Seconds()
}

func TestHostsOfACellAgreeOnIt(t *testing.T) {
	members := membersOf(295, 6)
	near := make(map[ident.Host]map[ident.Host]bool)
	for i, self := range members {
		others := append(append([]Member(nil), members[:i]...), members[i+1:]...)
		near[self.Host] = make(map[ident.Host]bool)
		for _, m := range NewPeerSet(self, others).near {
			near[self.Host][m.Host] = true
		}
	}
	for host, peers := range near {
		for peer := range peers {
			if !near[peer][host] {
				t.Errorf("%s is near %s, but not the other way round", peer, host)
			}
		}
	}
}
