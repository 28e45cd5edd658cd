package pool

import (
	"sync"

	"github.com/cornelyard/cornelyard/ident"
)

// unsyncedEntries holds the entries whose events were dropped because an owner's inbox
// was full. It is safe for concurrent use.
type unsyncedEntries struct {
	mu    sync.Mutex
	hosts map[ident.Host]struct{}
}

// add adds an entry. An event that came from no entry adds none.
func (u *unsyncedEntries) add(host ident.Host) {
	if host == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.hosts == nil {
		u.hosts = make(map[ident.Host]struct{})
	}
	u.hosts[host] = struct{}{}
}

// drain returns and removes the entries.
func (u *unsyncedEntries) drain() []ident.Host {
	u.mu.Lock()
	defer u.mu.Unlock()
	var hosts []ident.Host
	for host := range u.hosts {
		hosts = append(hosts, host)
		delete(u.hosts, host)
	}
	return hosts
}
