package operator

import "github.com/cornelyard/cornelyard/timeline"

// timelineReply is a host's events; Full says that the limit cut them short.
type timelineReply struct {
	Events  []timeline.Event `json:"events"`
	Dropped uint64           `json:"dropped"`
	Full    bool             `json:"full"`
}
