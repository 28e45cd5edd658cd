package faultrun

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/internal/verdict"
)

// Result is what a run gave.
type Result struct {
	Seed      uint64        `json:"seed"`
	Duration  time.Duration `json:"durationNanoseconds"`
	Calls     int           `json:"calls"`
	Succeeded int           `json:"whole"`
	// Faults counts the faults that were injected, by kind.
	Faults   []FaultCount `json:"faults"`
	Promises []Verdict    `json:"promises"`
	// Refusals counts the calls that were not answered whole, by reason.
	Refusals []ReasonCount `json:"refusals"`
	// Logs holds the output of all processes if a promise was broken.
	Logs string `json:"-"`
}

// FaultCount counts the faults of one kind.
type FaultCount struct {
	Kind  FaultKind `json:"kind"`
	Count int       `json:"count"`
}

// ReasonCount counts the calls that ended with a reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Broken returns the verdicts of the broken promises.
func (r *Result) Violated() []Verdict { return verdict.Violated(r.Promises) }

// WriteText implements report.Report.
func (r *Result) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %v under faults, %d calls, %d answered whole\n\n", r.Seed, r.Duration, r.Calls, r.Succeeded)
	if err := verdict.WriteTable(w, r.Promises); err != nil {
		return Error.Wrap(err)
	}
	var faults, reasons []string
	for _, f := range r.Faults {
		faults = append(faults, fmt.Sprintf("%s %d", f.Kind, f.Count))
	}
	for _, c := range r.Refusals {
		reasons = append(reasons, fmt.Sprintf("%s %d", c.Reason, c.Count))
	}
	_, err := fmt.Fprintf(w, "\nfaults: %s\nnot whole: %s\n", strings.Join(faults, ", "), strings.Join(reasons, ", "))
	return Error.Wrap(err)
}

func sortedReasons(counts map[string]int) []ReasonCount {
	var sorted []ReasonCount
	for reason, count := range counts {
		sorted = append(sorted, ReasonCount{Reason: reason, Count: count})
	}
	slices.SortFunc(sorted, func(a, b ReasonCount) int { return strings.Compare(a.Reason, b.Reason) })
	return sorted
}
