package api

import "github.com/cornelyard/cornelyard/timeline"

// Timeline is the events of all hosts in one order.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Cursors are for the next query.
	Cursors []Cursor `json:"cursors"`
	// More says that there are further events to read with the cursors.
	More        bool          `json:"more,omitempty"`
	Drops       []DropCount   `json:"drops,omitempty"`
	Unreachable []Unreachable `json:"unreachable,omitempty"`
}
