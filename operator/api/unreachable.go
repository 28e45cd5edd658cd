package api

import "github.com/cornelyard/cornelyard/ident"

// Unreachable is a host whose part is missing in an answer.
type Unreachable struct {
	Host   ident.Host `json:"host"`
	Reason string     `json:"reason"`
}
