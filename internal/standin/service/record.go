package service

// Record tells what the service did since its start.
type Record struct {
	Calls []Call `json:"calls"`
	// Refused counts the calls refused as leaving, by id.
	Refused map[string]int `json:"refused"`
}

// ReceivedCounts counts the calls by id.
func (r *Record) ReceivedCounts() map[string]int {
	counts := make(map[string]int, len(r.Calls))
	for _, call := range r.Calls {
		counts[call.ID]++
	}
	return counts
}

// ReceivedKeyCounts counts the calls by idempotency key, those without one left out.
func (r *Record) ReceivedKeyCounts() map[string]int {
	counts := make(map[string]int)
	for _, call := range r.Calls {
		if call.Key != "" {
			counts[call.Key]++
		}
	}
	return counts
}
