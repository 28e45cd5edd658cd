package peer

import (
	"sync"

	"github.com/cornelyard/cornelyard/ident"
)

// linkTable holds the links to the other hosts. It is safe for concurrent use.
type linkTable struct {
	mu     sync.Mutex
	byHost map[ident.Host]*link
}

func newLinkTable() *linkTable { return &linkTable{byHost: make(map[ident.Host]*link)} }

// find returns the link to the host, or nil if there is none.
func (t *linkTable) find(host ident.Host) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byHost[host]
}

// findOrCreate returns the link to the host, and creates it if necessary.
func (t *linkTable) findOrCreate(host ident.Host) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.byHost[host]
	if !ok {
		l = newLink(host)
		t.byHost[host] = l
	}
	return l
}

// removeUnused removes the link if it is unused.
func (t *linkTable) removeUnused(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHost[l.host] == l && l.tryRemove() {
		delete(t.byHost, l.host)
	}
}

func (t *linkTable) all() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*link, 0, len(t.byHost))
	for _, l := range t.byHost {
		all = append(all, l)
	}
	return all
}
