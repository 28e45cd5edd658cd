package operator

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
)

// hostReplies collects the replies of all hosts. It is safe for concurrent use;
// sort orders the replies by host.
type hostReplies[Reply any] struct {
	mu          sync.Mutex
	replies     []hostReply[Reply]
	unreachable []api.Unreachable
}

func (r *hostReplies[Reply]) add(host ident.Host, reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies = append(r.replies, hostReply[Reply]{host: host, reply: reply})
}

func (r *hostReplies[Reply]) addUnreachable(host ident.Host, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = append(r.unreachable, api.Unreachable{Host: host, Reason: err.Error()})
}

func (r *hostReplies[Reply]) sort() {
	slices.SortFunc(r.replies, func(a, b hostReply[Reply]) int { return cmp.Compare(a.host, b.host) })
	slices.SortFunc(r.unreachable, func(a, b api.Unreachable) int { return cmp.Compare(a.Host, b.Host) })
}
