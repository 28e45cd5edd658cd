package api

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

// TimelineQuery selects events on all hosts.
type TimelineQuery struct {
	// Since selects the events after this time on hosts without a cursor.
	Since timeline.Timestamp `json:"since,omitzero"`
	// Request selects the events of one request; empty selects all.
	Request ident.Request `json:"request,omitempty"`
	// Limit is the maximum number of events per host; zero means the largest
	// allowed limit.
	Limit int `json:"limit,omitempty"`
	// Cursors are those of the previous Timeline, to continue from there.
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
