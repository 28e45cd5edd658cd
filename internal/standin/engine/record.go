package engine

// Record tells what the engine did since its start.
type Record struct {
	Runs []RunRecord `json:"runs"`
	// Refused counts the requests refused as leaving, by id.
	Refused map[string]int `json:"refused"`
	// PrefillTokens is the number of prompt tokens computed, and
	// WastedPrefillTokens the part of it that cancelled runs had used.
	PrefillTokens       int64 `json:"prefillTokens"`
	WastedPrefillTokens int64 `json:"wastedPrefillTokens"`
}

// ReceivedCounts counts the requests that were taken for execution, by id.
func (r *Record) ReceivedCounts() map[string]int {
	counts := make(map[string]int, len(r.Runs))
	for _, run := range r.Runs {
		counts[run.ID]++
	}
	return counts
}
