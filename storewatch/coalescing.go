package storewatch

import "time"

// Delays between the calls for changes of the tables.
const (
	// After a change, a host waits this long before its next call, so that changes close together are
	// read with one call. Otherwise, when many targets or hosts start, every host would make a call for
	// each of them.
	ConfigCoalesceDelay  = 50 * time.Millisecond
	TargetsCoalesceDelay = 250 * time.Millisecond
	HostsCoalesceDelay   = time.Second
	// While changes follow each other without a pause, the delay doubles up to these.
	MaxConfigCoalesceDelay = 100 * time.Millisecond
	// The table of hosts also holds the crashes of targets, which hosts must learn of soon.
	MaxHostsCoalesceDelay = time.Second
	// For targets, it doubles up to this part of the time that they take to drain.
	maxTargetsCoalesceShare = 0.25
)

// MaxTargetsDelay returns the longest delay between two calls for changes of the targets. It
// leaves hosts most of the drain time to learn of a draining target.
func MaxTargetsDelay(drainTime time.Duration) time.Duration {
	return max(TargetsCoalesceDelay, time.Duration(maxTargetsCoalesceShare*float64(drainTime)))
}
