package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// LatencyBuckets returns the duration buckets of all latency histograms: powers of two
// from 1 ms to about 65 s.
func LatencyBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)
}

// Latency returns the named histogram with LatencyBuckets.
func Latency(scope tally.Scope, name string) tally.Histogram {
	return scope.Histogram(name, LatencyBuckets())
}
