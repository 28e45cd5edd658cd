package restapi

import "github.com/cornelyard/cornelyard/storage"

// Rows answers a scan, and a transaction with the rows whose checks failed.
type Rows struct {
	Rows []storage.Row `json:"rows"`
}
