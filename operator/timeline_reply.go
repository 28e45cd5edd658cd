package operator

import "github.com/cornelyard/cornelyard/timeline"

// timelineReply holds the events of a host. If LimitReached is set, there may be
// more.
type timelineReply struct {
	Events       []timeline.Event `json:"events"`
	Dropped      uint64           `json:"dropped"`
	LimitReached bool             `json:"full"`
}
