package platform

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/storage"
)

// hostList keeps the visible version and the later ones.
type hostList struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []hostVersion
}

func (l *hostList) set(now time.Time, hosts []storage.HostEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, hostVersion{visibleFrom: now.Add(l.lag), hosts: hosts})
}

// visibleAt returns the version that is visible at now.
func (l *hostList) visibleAt(now time.Time) []storage.HostEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) > 1 && !l.versions[1].visibleFrom.After(now) {
		l.versions = l.versions[1:]
	}
	if len(l.versions) == 0 || l.versions[0].visibleFrom.After(now) {
		return []storage.HostEntry{}
	}
	return l.versions[0].hosts
}
