package recovery

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("recovery")

// Report is the result of the measurement.
type Report struct {
	Rounds   int       `json:"rounds"`
	Failures []Figures `json:"failures"`
}

// Figures holds the measured times for one kind of failure, in milliseconds.
type Figures struct {
	Failure string `json:"failure"`
	// Baseline describes the same step without the failure.
	Baseline string    `json:"baseline"`
	Before   []float64 `json:"beforeMilliseconds"`
	After    []float64 `json:"afterMilliseconds"`
	Median   float64   `json:"medianMilliseconds"`
	Longest  float64   `json:"longestMilliseconds"`
	// Ratio is the median of After divided by that of Before.
	Ratio float64 `json:"ratio"`
}

func (f *Figures) computeSummary() {
	f.Median = median(f.After)
	f.Longest = slices.Max(f.After)
	if before := median(f.Before); before > 0 {
		f.Ratio = f.Median / before
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteText implements report.Report.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "failure\tmedian ms\tlongest ms\tbaseline ms\tratio\tbaseline")
	for _, f := range r.Failures {
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.1f\t%.0f\t%s\n",
			f.Failure, f.Median, f.Longest, median(f.Before), f.Ratio, f.Baseline)
	}
	return Error.Wrap(table.Flush())
}
