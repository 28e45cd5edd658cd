package policy

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is the result of the measurement.
type Report struct {
	Shape           string   `json:"shape"`
	Seed            uint64   `json:"seed"`
	Deadlines       string   `json:"deadlines"`
	DurationSeconds float64  `json:"durationSeconds"`
	Results         []Result `json:"results"`
	Goals           []Goal   `json:"targets"`
}

// WriteText implements report.Report.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "shape %s, seed %d, %s deadlines, %.0f s a phase; times in ms\n", r.Shape, r.Seed, r.Deadlines, r.DurationSeconds)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "load\tpolicy\ttier\toffered\tgood\tpart\tlate\texpired\tshed\tinfeasible\tpreempted\tfailed\t"+
		"finish 50\tfinish 99\tfirst 50\tfirst 99\tgap 50\tgap 99\twasted\t")
	for _, result := range r.Results {
		result.writeRows(table)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, goal := range r.Goals {
		fmt.Fprintln(w, goal)
	}
	return nil
}
