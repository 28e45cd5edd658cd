package api

import "github.com/cornelyard/cornelyard/timeline"

// Timeline holds the merged events of all hosts, sorted by time.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Cursors are the start positions of the next query.
	Cursors []Cursor `json:"cursors"`
	// More reports that further events can be read from the cursors on.
	More        bool          `json:"more,omitempty"`
	Drops       []DropCount   `json:"drops,omitempty"`
	Unreachable []Unreachable `json:"unreachable,omitempty"`
}
