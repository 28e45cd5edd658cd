package overhead

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMicros  = 1          // microseconds
	maxLatencyMicros  = 60_000_000 // microseconds
	significantDigits = 3
)

// latency collects the latencies of one kind of call. It is safe for concurrent use.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

func (l *latency) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func (l *latency) summary() Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Latency{
		Calls:    l.histogram.TotalCount(),
		MedianMs: milliseconds(l.histogram.ValueAtQuantile(50)),
		P99Ms:    milliseconds(l.histogram.ValueAtQuantile(99)),
	}
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
