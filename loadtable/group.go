package loadtable

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cornelyard/cornelyard/eventlog"
)

const (
	// maxRecordedMs is the longest time that a histogram distinguishes; longer ones count as this.
	maxRecordedMs = 600_000
	// significantDigits of recorded times.
	significantDigits = 2
)

// group sums up requests with the same values of all dimensions.
type group struct {
	lines    int64
	requests int64
	served   int64
	late     int64
	// lateUnknown is the part of served whose lines don't say whether they were late.
	lateUnknown int64
	refused     int64
	failed      int64
	queued      *hdrhistogram.Histogram
	firstEvent  *hdrhistogram.Histogram
}

func (g *group) add(r *eventlog.EndedRequest) {
	n := r.Represents
	g.lines++
	g.requests += n
	switch {
	case r.Served():
		g.served += n
		if late(r) {
			g.late += n
		}
		if r.Late == nil {
			g.lateUnknown += n
		}
	case refused(r):
		g.refused += n
	default:
		g.failed += n
	}
	if r.Dispatches > 0 || r.Queued > 0 {
		record(&g.queued, r.Queued, n)
	}
	if r.FirstEvent > 0 {
		record(&g.firstEvent, r.FirstEvent, n)
	}
}

// sum returns the sum of groups. It changes none of them.
func sum(groups []*group) *group {
	if len(groups) == 1 {
		return groups[0]
	}
	total := &group{}
	for _, g := range groups {
		total.merge(g)
	}
	return total
}

func (g *group) merge(o *group) {
	g.lines += o.lines
	g.requests += o.requests
	g.served += o.served
	g.late += o.late
	g.lateUnknown += o.lateUnknown
	g.refused += o.refused
	g.failed += o.failed
	mergeHistograms(&g.queued, o.queued)
	mergeHistograms(&g.firstEvent, o.firstEvent)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMs, significantDigits)
}

// record records a time in ms of n requests. The histogram is created at its first value.
func record(h **hdrhistogram.Histogram, ms, n int64) {
	if *h == nil {
		*h = newHistogram()
	}
	// The value is within the histogram's range, so there is no error.
	_ = (*h).RecordValues(min(ms, maxRecordedMs), n)
}

func mergeHistograms(into **hdrhistogram.Histogram, from *hdrhistogram.Histogram) {
	if from == nil {
		return
	}
	if *into == nil {
		*into = newHistogram()
	}
	(*into).Merge(from)
}
