package service

// Record holds what the service processed since its start.
type Record struct {
	Calls []Call `json:"calls"`
	// Refused counts the calls rejected because the service was leaving, by ID.
	Refused map[string]int `json:"refused"`
}

// ReceivedCounts counts the calls by ID.
func (r *Record) ReceivedCounts() map[string]int {
	counts := make(map[string]int, len(r.Calls))
	for _, call := range r.Calls {
		counts[call.ID]++
	}
	return counts
}

// ReceivedKeyCounts counts the calls that have an idempotency key, by key.
func (r *Record) ReceivedKeyCounts() map[string]int {
	counts := make(map[string]int)
	for _, call := range r.Calls {
		if call.Key != "" {
			counts[call.Key]++
		}
	}
	return counts
}
