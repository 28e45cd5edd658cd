package restapi

import "github.com/cornelyard/cornelyard/storage"

// Rows is the response to a scan. In the response to a rejected transaction it holds
// the rows whose checks failed.
type Rows struct {
	Rows []storage.Row `json:"rows"`
}
