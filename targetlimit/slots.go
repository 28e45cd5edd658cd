package targetlimit

import (
	"slices"

	"github.com/cornelyard/cornelyard/ident"
)

// Slots returns how many of a target's slots a host may use if the hosts share them without
// talking to each other. All hosts that know the same ones agree, and what they may use adds
// up to the slots.
func Slots(target ident.Target, slots int, host ident.Host, hosts []ident.Host) int {
	if len(hosts) == 0 {
		return 0
	}
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b ident.Host) int {
		switch wa, wb := Weight(target, a), Weight(target, b); {
		case wa > wb, wa == wb && a < b:
			return -1
		case a == b:
			return 0
		default:
			return 1
		}
	})
	rank := slices.Index(ranked, host)
	if rank < 0 {
		return 0
	}
	share := slots / len(ranked)
	if rank < slots%len(ranked) {
		share++
	}
	return share
}
