package policy

import (
	"fmt"
	"io"

	"github.com/cornelyard/cornelyard/settings"
)

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
