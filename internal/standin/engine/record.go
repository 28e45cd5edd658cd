package engine

// Record holds what the engine processed since its start.
type Record struct {
	Runs []RunRecord `json:"runs"`
	// Refused counts the requests rejected because the engine was leaving, by ID.
	Refused map[string]int `json:"refused"`
	// PrefillTokens is the number of prompt tokens computed. WastedPrefillTokens is
	// the number of those that were computed for cancelled runs.
	PrefillTokens       int64 `json:"prefillTokens"`
	WastedPrefillTokens int64 `json:"wastedPrefillTokens"`
}

// ReceivedCounts counts the requests that were accepted for execution, by ID.
func (r *Record) ReceivedCounts() map[string]int {
	counts := make(map[string]int, len(r.Runs))
	for _, run := range r.Runs {
		counts[run.ID]++
	}
	return counts
}
