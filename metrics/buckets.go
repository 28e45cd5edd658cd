package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// LatencyBuckets returns the fixed buckets of durations from 1 ms to about
// 65 s, each twice the one before.
func LatencyBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)
}

// Latency returns the histogram of that name with the fixed buckets.
func Latency(scope tally.Scope, name string) tally.Histogram {
	return scope.Histogram(name, LatencyBuckets())
}
