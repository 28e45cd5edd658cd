// Package verdict counts how often a system's promises (invariants that its
// documentation guarantees) are checked and violated during fault injection.
package verdict

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("verdict")

// Verdict counts the checks and violations of one promise.
type Verdict struct {
	Promise    Promise `json:"promise"`
	Checked    int     `json:"tried"`
	Violations int     `json:"broken"`
	// Examples describes the first violations, at most maxExamples.
	Examples []string `json:"examples,omitempty"`
}

const maxExamples = 5

// Check counts one check. It calls describe only for a violation that it records as an
// example.
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

// Violated returns the verdicts of promises with violations.
func Violated(all []Verdict) []Verdict {
	var broken []Verdict
	for _, v := range all {
		if v.Violations > 0 {
			broken = append(broken, v)
		}
	}
	return broken
}

// WriteTable writes one row per promise, each followed by its examples.
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
