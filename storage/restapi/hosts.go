package restapi

import "github.com/cornelyard/cornelyard/storage"

// Hosts is the response to a read of the host list.
type Hosts struct {
	Hosts []storage.HostEntry `json:"hosts"`
}
