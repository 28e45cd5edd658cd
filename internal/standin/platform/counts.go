package platform

// Counts tells how many calls reached the platform since its start.
type Counts struct {
	// Reads and Writes include the refused and the lost calls.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Refused counts calls that an outage or a limit turned away.
	Refused uint64 `json:"refused"`
	// Conflicts counts transactions whose checks failed.
	Conflicts uint64 `json:"conflicts"`
}
