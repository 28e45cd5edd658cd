package storage

// Check is a precondition on one row.
type Check struct {
	Key string `json:"key"`
	// Revision must equal the row's revision; zero demands that it is absent.
	Revision uint64 `json:"revision"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is applied whole if every check holds, else not at all.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}
