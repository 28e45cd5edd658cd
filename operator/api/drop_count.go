package api

import "github.com/cornelyard/cornelyard/ident"

// DropCount is the number of events that a host overwrote because its ring buffer
// was full.
type DropCount struct {
	Host    ident.Host `json:"host"`
	Dropped uint64     `json:"dropped"`
}
