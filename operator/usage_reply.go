package operator

import "github.com/cornelyard/cornelyard/usage"

// usageReply holds a host's own report and the last ones that it knows of
// others.
type usageReply struct {
	Reports []usage.Report `json:"reports"`
}
