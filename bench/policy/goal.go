package policy

import "fmt"

// Goal compares a value measured for the predictive policy with a limit.
type Goal struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Limit is the minimum or, if AtMost is set, the maximum allowed value.
	Limit  float64 `json:"limit"`
	AtMost bool    `json:"atMost"`
	Met    bool    `json:"met"`
}

// String implements fmt.Stringer.
func (g Goal) String() string {
	relation, verdict := "at least", "missed"
	if g.AtMost {
		relation = "at most"
	}
	if g.Met {
		verdict = "met"
	}
	return fmt.Sprintf("%s: %.3f, %s %.3f: %s", g.Name, g.Value, relation, g.Limit, verdict)
}
