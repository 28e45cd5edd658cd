package soak

import (
	"fmt"
	"io"

	"github.com/cornelyard/cornelyard/internal/verdict"
)

// Results adds up the runs of several seeds.
type Summary struct {
	Promises []verdict.Verdict `json:"promises"`
	// Failed holds the runs in which a promise was broken.
	Failed    []*Result `json:"failed"`
	Seeds     int       `json:"seeds"`
	Calls     int       `json:"calls"`
	Succeeded int       `json:"whole"`
}

// Add takes in a run.
func (r *Summary) Add(result *Result) {
	r.Seeds++
	r.Calls += result.Calls
	r.Succeeded += result.Succeeded
	if len(result.Violated()) > 0 {
		r.Failed = append(r.Failed, result)
	}
	if r.Promises == nil {
		r.Promises = make([]verdict.Verdict, len(result.Promises))
	}
	for i, v := range result.Promises {
		r.Promises[i].Promise = v.Promise
		r.Promises[i].Checked += v.Checked
		r.Promises[i].Violations += v.Violations
	}
}

// WriteText implements report.Report.
func (r *Summary) WriteText(w io.Writer) error {
	for _, failed := range r.Failed {
		if err := failed.WriteText(w); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "%d seeds, %d of them broke a promise; %d calls, %d answered whole\n", r.Seeds, len(r.Failed), r.Calls, r.Succeeded)
	return Error.Wrap(verdict.WriteTable(w, r.Promises))
}
