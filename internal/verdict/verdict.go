// Package verdict counts how often the promises of a system are tried and broken
// while it is disturbed.
package verdict

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("verdict")

// Promise names one of a system's promises.
type Promise string

// Verdict tells how often a promise was tried and how often broken.
type Verdict struct {
	Promise    Promise `json:"promise"`
	Checked    int     `json:"tried"`
	Violations int     `json:"broken"`
	// Examples describes the first breaks.
	Examples []string `json:"examples,omitempty"`
}

// maxExamples bounds the described breaks of one promise.
const maxExamples = 5

// Check counts one try; describe is asked only if the promise does not hold.
func (v *Verdict) Check(holds bool, describe func() string) {
	v.Checked++
	if holds {
		return
	}
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, describe())
	}
}

// Broken returns the verdicts of the broken promises.
func Violated(all []Verdict) []Verdict {
	var broken []Verdict
	for _, v := range all {
		if v.Violations > 0 {
			broken = append(broken, v)
		}
	}
	return broken
}

// WriteTable writes a line for each promise, and its examples below.
func WriteTable(w io.Writer, all []Verdict) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "promise\ttried\tbroken")
	for _, v := range all {
		fmt.Fprintf(table, "%s\t%d\t%d\n", v.Promise, v.Checked, v.Violations)
		for _, example := range v.Examples {
			fmt.Fprintf(table, "  %s\t\t\n", example)
		}
	}
	return Error.Wrap(table.Flush())
}
