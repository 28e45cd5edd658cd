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

func (g *hostReplies[Reply]) add(host ident.Host, reply Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replies = append(g.replies, hostReply[Reply]{host: host, reply: reply})
}

func (g *hostReplies[Reply]) addUnreachable(host ident.Host, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable = append(g.unreachable, api.Unreachable{Host: host, Reason: err.Error()})
}

func (g *hostReplies[Reply]) sort() {
	slices.SortFunc(g.replies, func(a, b hostReply[Reply]) int { return cmp.Compare(a.host, b.host) })
	slices.SortFunc(g.unreachable, func(a, b api.Unreachable) int { return cmp.Compare(a.Host, b.Host) })
}
