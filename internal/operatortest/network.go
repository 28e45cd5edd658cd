package operatortest

import (
	"context"
	"sync"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator"
	"github.com/cornelyard/cornelyard/peer"
)

// network is an in-memory network for unary calls between the hosts. It implements
// peer.Caller.
type network struct {
	mu      sync.Mutex
	methods map[ident.Host][]operator.Method
}

func (n *network) connect(host ident.Host, methods []operator.Method) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.methods[host] = methods
}

func (n *network) disconnect(host ident.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.methods, host)
}

// Call implements peer.Caller.
func (n *network) Call(ctx context.Context, to ident.Host, method string, body []byte) ([]byte, error) {
	n.mu.Lock()
	methods := n.methods[to]
	n.mu.Unlock()
	for _, m := range methods {
		if m.Name == method {
			return m.Serve(ctx, "caller", body)
		}
	}
	return nil, peer.ErrNoSession
}
