package policy

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
