package overhead

import (
	"fmt"
	"io"
)

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

func (c *Comparison) writeRow(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", name, c.Through.Calls,
		c.Direct.MedianMs, c.Through.MedianMs, c.MedianAddedMs, c.MedianRatio,
		c.Direct.P99Ms, c.Through.P99Ms, c.P99AddedMs, c.P99Ratio)
}
