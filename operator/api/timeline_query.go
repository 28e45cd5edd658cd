package api

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

// TimelineQuery selects events of all hosts.
type TimelineQuery struct {
	// Since selects the events after it, on hosts without a cursor.
	Since timeline.Timestamp `json:"since,omitzero"`
	// Request selects the events of one request.
	Request ident.Request `json:"request,omitempty"`
	// Limit bounds the events of each host; zero means the largest limit.
	Limit int `json:"limit,omitempty"`
	// Cursors are those of the answer before, to go on from there.
	Cursors []Cursor `json:"cursors,omitempty"`
}

// SinceOn returns the time after which the events of a host are selected.
func (q TimelineQuery) SinceOn(host ident.Host) timeline.Timestamp {
	for _, c := range q.Cursors {
		if c.Host == host {
			return c.Since
		}
	}
	return q.Since
}
