package restapi

// CommitResult is the response to a transaction that was applied.
type CommitResult struct {
	Revision uint64 `json:"revision"`
}
