package restapi

// Committed answers a transaction that was applied.
type Committed struct {
	Revision uint64 `json:"revision"`
}
