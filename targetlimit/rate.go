package targetlimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// minPerSecond is the least limit that hosts act on. A target that gets fewer requests
	// could not be reached when it states another limit.
	minPerSecond = 0.2
	// maxKeepers bounds the hosts that have a rate for one target. Each may send one
	// request at any moment.
	maxKeepers = 4
	// keeperDemand is the ratio of the requests that reach the keepers to the limit up to
	// which further hosts become keepers.
	keeperDemand = 1.5
	// minArrivalRate is the least requests per second at a host that can use a rate.
	minArrivalRate = 0.05
)

// Rate returns the requests per second that this host may send to a target that states a
// limit. The candidates include this host if it may become a keeper. Share is the part of the
// limit that the candidates use together, from 0 to 1.
func Rate(target ident.Target, perSecond, share float64, self ident.Host, candidates []Candidate) float64 {
	limit := max(perSecond, minPerSecond) * share
	keepers := chooseKeepers(target, limit, candidates)
	part := limit / float64(max(len(keepers), 1))
	rate := 0.0
	if slices.Contains(keepers, self) {
		rate = part
	}
	for _, c := range candidates {
		entitled := 0.0
		if slices.Contains(keepers, c.Host) {
			entitled = part
		}
		if c.Host != self {
			// Another view of the hosts, or one that is about to change.
			rate -= max(c.Claim-entitled, 0)
		}
	}
	return max(rate, 0)
}

// chooseKeepers returns the candidates that have a rate. They are the first ones, in an order
// that depends on the target and the hosts only, of those that requests reach; if there are
// none, the first of all.
func chooseKeepers(target ident.Target, limit float64, candidates []Candidate) []ident.Host {
	ordered := slices.SortedFunc(slices.Values(candidates), func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(Weight(target, b.Host), Weight(target, a.Host)), cmp.Compare(a.Host, b.Host))
	})
	var keepers []ident.Host
	demand := 0.0
	for _, c := range ordered {
		if c.ArrivalRate < minArrivalRate {
			continue
		}
		if len(keepers) == maxKeepers || len(keepers) > 0 && demand >= keeperDemand*limit {
			break
		}
		keepers = append(keepers, c.Host)
		demand += c.ArrivalRate
	}
	if len(keepers) == 0 && len(ordered) > 0 {
		return []ident.Host{ordered[0].Host}
	}
	return keepers
}

// Weight returns the weight of a host, or of a data centre, for a target in a rendezvous hash:
// the one with the highest weight is chosen.
func Weight[T ~string](target ident.Target, name T) uint64 {
	return xxhash.Sum64String(string(target) + "\x00" + string(name))
}

// Share returns the part of each limit that the hosts which receive each other's states use, of all hosts
// that there are. More than half of them use it as a whole, so that a host which has failed
// costs nothing; all other groups together are less than the other half.
func Share(connected, all int) float64 {
	if all == 0 || 2*connected > all {
		return 1
	}
	return float64(connected) / float64(all)
}
