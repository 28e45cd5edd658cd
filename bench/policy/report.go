package policy

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// Counts are numbers of calls by outcome.
type Counts struct {
	Offered int `json:"offered"`
	// Good counts complete responses within the deadline.
	Good int `json:"good"`
	// Late counts calls that ran past their deadline, Expired those that were refused
	// because their deadline was too near.
	Late       int `json:"late"`
	Expired    int `json:"expired"`
	Shed       int `json:"shed"`
	Infeasible int `json:"infeasible"`
	Preempted  int `json:"preempted"`
	// Failed counts all other calls.
	Failed int `json:"failed"`
}

// Times are quantiles in milliseconds.
type Times struct {
	// The finish times include complete responses only.
	FinishP50Ms     float64 `json:"finishP50Ms"`
	FinishP99Ms     float64 `json:"finishP99Ms"`
	FirstTokenP50Ms float64 `json:"firstTokenP50Ms"`
	FirstTokenP99Ms float64 `json:"firstTokenP99Ms"`
	GapP50Ms        float64 `json:"gapP50Ms"`
	GapP99Ms        float64 `json:"gapP99Ms"`
}

// TierResult is the result of one tier, or of all tiers if Tier is empty.
type TierResult struct {
	Tier ident.Tier `json:"tier,omitempty"`
	Counts
	Times
}

// Result is the result of one policy under one load.
type Result struct {
	Policy settings.Policy `json:"policy"`
	// Case distinguishes runs of one policy and load: empty, slowed or absent.
	Case  string       `json:"case,omitempty"`
	Load  float64      `json:"load"`
	Total TierResult   `json:"total"`
	Tiers []TierResult `json:"tiers"`
	// PrefillTokens is the number of prompt tokens that the engines computed,
	// WastedPrefillTokens that of cancelled requests.
	PrefillTokens       int64   `json:"prefillTokens"`
	WastedPrefillTokens int64   `json:"wastedPrefillTokens"`
	WastedRatio         float64 `json:"wastedPart"`
}

// Goal compares a value measured for the predictive policy with a limit.
type Goal struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Limit is the minimum or, if AtMost is set, the maximum allowed value.
	Limit  float64 `json:"limit"`
	AtMost bool    `json:"atMost"`
	Met    bool    `json:"met"`
}

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
	for _, target := range r.Goals {
		fmt.Fprintln(w, target)
	}
	return nil
}

func (r Result) writeRows(w io.Writer) {
	name := string(r.Policy)
	if r.Case != "" {
		name += " " + r.Case
	}
	for _, tier := range r.Tiers {
		tier.writeRow(w, r.Load, name, "")
	}
	r.Total.writeRow(w, r.Load, name, fmt.Sprintf("%.3f", r.WastedRatio))
}

func (t TierResult) writeRow(w io.Writer, load float64, policy, wasted string) {
	tier := string(t.Tier)
	if tier == "" {
		tier = "all"
	}
	fmt.Fprintf(w, "%.1f\t%s\t%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%s\t\n",
		load, policy, tier, t.Offered, t.Good, ratio(t.Good, t.Offered), t.Late, t.Expired, t.Shed, t.Infeasible,
		t.Preempted, t.Failed, t.FinishP50Ms, t.FinishP99Ms, t.FirstTokenP50Ms, t.FirstTokenP99Ms,
		t.GapP50Ms, t.GapP99Ms, wasted)
}

// String implements fmt.Stringer.
func (t Goal) String() string {
	relation, verdict := "at least", "missed"
	if t.AtMost {
		relation = "at most"
	}
	if t.Met {
		verdict = "met"
	}
	return fmt.Sprintf("%s: %.3f, %s %.3f: %s", t.Name, t.Value, relation, t.Limit, verdict)
}

func ratio(count, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(count) / float64(of)
}
