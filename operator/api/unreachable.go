package api

import "github.com/cornelyard/cornelyard/ident"

// Unreachable is a host whose data is missing from a response.
type Unreachable struct {
	Host   ident.Host `json:"host"`
	Reason string     `json:"reason"`
}
