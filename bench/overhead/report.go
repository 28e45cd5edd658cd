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
