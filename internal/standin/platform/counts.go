package platform

// Counts holds the number of calls received since the start.
type Counts struct {
	// Reads and Writes include rejected and lost calls.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Refused is the number of calls rejected because of an outage or a rate limit.
	Refused uint64 `json:"refused"`
	// Conflicts is the number of transactions with a failed check.
	Conflicts uint64 `json:"conflicts"`
}
