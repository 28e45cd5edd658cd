package restapi

// CommitResult answers a transaction that was applied.
type CommitResult struct {
	Revision uint64 `json:"revision"`
}
