package storage

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Revision increases with each write to the table. Zero means that the row is
	// absent.
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}
