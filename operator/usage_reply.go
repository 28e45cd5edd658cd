package operator

import "github.com/cornelyard/cornelyard/usage"

// usageReply holds a host's own report and the latest reports that it has
// replicated from other hosts.
type usageReply struct {
	Reports []usage.Report `json:"reports"`
}
