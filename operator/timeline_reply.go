package operator

import "github.com/cornelyard/cornelyard/timeline"

// timelineReply holds the events of a host. Full reports that the limit was
// reached, so there may be more.
type timelineReply struct {
	Events  []timeline.Event `json:"events"`
	Dropped uint64           `json:"dropped"`
	Full    bool             `json:"full"`
}
