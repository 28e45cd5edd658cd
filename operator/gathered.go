package operator

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
)

// gathered is what all hosts replied, sorted by host.
type gathered[Reply any] struct {
	mu          sync.Mutex
	answers     []answer[Reply]
	unreachable []api.Unreachable
}

func (g *gathered[Reply]) add(host ident.Host, reply Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers = append(g.answers, answer[Reply]{host: host, reply: reply})
}

func (g *gathered[Reply]) miss(host ident.Host, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable = append(g.unreachable, api.Unreachable{Host: host, Reason: err.Error()})
}

func (g *gathered[Reply]) sort() {
	slices.SortFunc(g.answers, func(a, b answer[Reply]) int { return cmp.Compare(a.host, b.host) })
	slices.SortFunc(g.unreachable, func(a, b api.Unreachable) int { return cmp.Compare(a.Host, b.Host) })
}
