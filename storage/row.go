package storage

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Revision grows with each write to the table; zero means "absent".
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}
