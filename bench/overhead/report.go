package overhead

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Latency summarizes the latencies of one kind of call.
type Latency struct {
	Calls    int64   `json:"calls"`
	MedianMs float64 `json:"medianMs"`
	P99Ms    float64 `json:"p99Ms"`
}

// Comparison compares calls through the hosts with direct calls.
type Comparison struct {
	Direct        Latency `json:"direct"`
	Through       Latency `json:"through"`
	MedianRatio   float64 `json:"medianRatio"`
	MedianAddedMs float64 `json:"medianAddedMs"`
	P99Ratio      float64 `json:"p99Ratio"`
	P99AddedMs    float64 `json:"p99AddedMs"`
}

func compare(direct, through *latency) Comparison {
	d, t := direct.summary(), through.summary()
	return Comparison{
		Direct:        d,
		Through:       t,
		MedianRatio:   ratio(t.MedianMs, d.MedianMs),
		MedianAddedMs: t.MedianMs - d.MedianMs,
		P99Ratio:      ratio(t.P99Ms, d.P99Ms),
		P99AddedMs:    t.P99Ms - d.P99Ms,
	}
}

func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return value / base
}

// Report is the result of the measurement.
type Report struct {
	Rate         float64 `json:"rate"`
	PhaseSeconds float64 `json:"phaseSeconds"`
	Rounds       int     `json:"rounds"`
	Hosts        int     `json:"hosts"`
	Tokens       int     `json:"tokens"`
	DecodeGapMs  float64 `json:"decodeGapMs"`
	Seed         uint64  `json:"seed"`
	// DirectFailed and ThroughFailed count calls without the complete expected response.
	DirectFailed  int64 `json:"directFailed"`
	ThroughFailed int64 `json:"throughFailed"`
	// FirstToken is the time to the first token of streamed calls. Streamed and
	// NonStreamed are the times to the end of the response.
	FirstToken  Comparison `json:"firstToken"`
	Streamed    Comparison `json:"streamed"`
	NonStreamed Comparison `json:"whole"`
}

// WriteText implements report.Report.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%.0f calls/s, %d hosts, %d tokens, %.1f ms between tokens; failed: %d direct, %d through\n",
		r.Rate, r.Hosts, r.Tokens, r.DecodeGapMs, r.DirectFailed, r.ThroughFailed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "ms\tcalls\tdirect 50\tthrough 50\tadded\tratio\tdirect 99\tthrough 99\tadded\tratio\t")
	r.FirstToken.writeRow(table, "first token")
	r.Streamed.writeRow(table, "streamed")
	r.NonStreamed.writeRow(table, "whole")
	return table.Flush()
}

func (c *Comparison) writeRow(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", name, c.Through.Calls,
		c.Direct.MedianMs, c.Through.MedianMs, c.MedianAddedMs, c.MedianRatio,
		c.Direct.P99Ms, c.Through.P99Ms, c.P99AddedMs, c.P99Ratio)
}
