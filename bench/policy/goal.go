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
