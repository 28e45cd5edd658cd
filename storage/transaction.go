package storage

// Check is a precondition on one row.
type Check struct {
	Key string `json:"key"`
	// Revision must equal the row's revision. Zero requires that the row is absent.
	Revision uint64 `json:"revision"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is a set of writes that is applied atomically if every check holds, and
// otherwise not at all.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}
