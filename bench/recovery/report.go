package recovery

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("recovery")

// Report is the result of the measurement.
type Report struct {
	Rounds   int       `json:"rounds"`
	Failures []Figures `json:"failures"`
}

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
