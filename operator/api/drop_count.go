package api

import "github.com/cornelyard/cornelyard/ident"

// DropCount counts the events that a host had no room to keep.
type DropCount struct {
	Host    ident.Host `json:"host"`
	Dropped uint64     `json:"dropped"`
}
