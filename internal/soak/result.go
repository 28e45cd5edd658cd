package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cornelyard/cornelyard/internal/verdict"
)

// Result is the result of a run.
type Result struct {
	Options Options `json:"options"`
	Calls   int     `json:"calls"`
	// Succeeded is the number of calls that received a target's complete response.
	Succeeded   int               `json:"whole"`
	FaultCounts map[faultKind]int `json:"faults"`
	Promises    []verdict.Verdict `json:"promises"`
	// Machine says what processor time the hosts and the callers got, if a promise was violated.
	Machine string `json:"machine,omitempty"`
	// LogDirectory holds the logs and settings of the hosts if a promise was violated.
	LogDirectory string `json:"logDirectory,omitempty"`
}

// Violated returns the verdicts of promises with violations.
func (r *Result) Violated() []verdict.Verdict { return verdict.Violated(r.Promises) }

// WriteText implements report.Report.
func (r *Result) WriteText(w io.Writer) error {
	during := fmt.Sprintf("%v under faults", r.Options.Duration)
	if r.Options.Former != "" {
		during = fmt.Sprintf("upgrade of %d hosts from %s, %s", r.Options.Hosts, r.Options.Former, upgradeKindOf(r.Options.Seed))
	}
	fmt.Fprintf(w, "seed %d, %s, %d calls, %d answered whole\n", r.Options.Seed, during, r.Calls, r.Succeeded)
	if err := verdict.WriteTable(w, r.Promises); err != nil {
		return Error.Wrap(err)
	}
	fmt.Fprint(w, "faults:")
	for _, kind := range slices.Sorted(maps.Keys(r.FaultCounts)) {
		fmt.Fprintf(w, " %s %d", kind, r.FaultCounts[kind])
	}
	fmt.Fprintln(w)
	if r.Machine != "" {
		fmt.Fprintln(w, r.Machine)
	}
	if r.LogDirectory != "" {
		fmt.Fprintf(w, "logs: %s\n", r.LogDirectory)
	}
	return nil
}
