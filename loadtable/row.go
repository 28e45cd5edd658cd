package loadtable

import "github.com/HdrHistogram/hdrhistogram-go"

// Row is one line of the table.
type Row struct {
	// Values holds a value for each dimension.
	Values []string
	// Lines is the number of log lines that the row is based on. The other counts are
	// estimated from them if Requests is larger.
	Lines    int64
	Requests int64
	// Served counts complete responses that are no server errors, Late those of them that
	// came after the objective of the route.
	Served int64
	Late   int64
	// LateUnknown is the part of Served for which the log doesn't say whether it was late.
	LateUnknown int64
	// Refused counts requests that no target ran and whose callers were informed of it, Failed all
	// others that were not served.
	Refused int64
	Failed  int64
	// Queued is the time in the queue, of the requests that were sent to a target or waited.
	Queued Quantiles
	// FirstEvent is the time from the arrival to the first event of a stream.
	FirstEvent Quantiles
}

// Estimated reports whether the counts are estimated from a sample.
func (r *Row) Estimated() bool { return r.Requests > r.Lines }

// LateKnown reports whether the log says of any served request whether it was late, or none
// was served.
func (r *Row) LateKnown() bool { return r.Served == 0 || r.LateUnknown < r.Served }

// Quantiles are those of a time in milliseconds. They are valid if Known is set.
type Quantiles struct {
	Known  bool
	Median int64
	P95    int64
}

func (g *group) row(values []string) Row {
	return Row{
		Values:      values,
		Lines:       g.lines,
		Requests:    g.requests,
		Served:      g.served,
		Late:        g.late,
		LateUnknown: g.lateUnknown,
		Refused:     g.refused,
		Failed:      g.failed,
		Queued:      quantilesOf(g.queued),
		FirstEvent:  quantilesOf(g.firstEvent),
	}
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	if h == nil {
		return Quantiles{}
	}
	return Quantiles{Known: true, Median: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95)}
}
