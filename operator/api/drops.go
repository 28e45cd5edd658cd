package api

import "github.com/cornelyard/cornelyard/ident"

// Drops counts the events that a host had no room to keep.
type Drops struct {
	Host    ident.Host `json:"host"`
	Dropped uint64     `json:"dropped"`
}
