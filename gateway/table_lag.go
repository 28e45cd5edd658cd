package gateway

import (
	"sync"
	"time"
)

const (
	// tableLagTolerance is how long other hosts may know a newer configuration than this one
	// before it reads the configuration again: the call that waits for changes may have got
	// no answer.
	tableLagTolerance = time.Second
	// tableRereadInterval is the least time between two such reads.
	tableRereadInterval = 2 * time.Second
)

// tableLag finds out whether this host has missed a change of the configuration. It is safe
// for concurrent use.
type tableLag struct {
	mu          sync.Mutex
	behindSince time.Time
	rereadAt    time.Time
}

// observe compares this host's version with that of another host, and reports whether the
// configuration has to be read again.
func (l *tableLag) observe(now time.Time, own, other uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if other <= own {
		return false
	}
	if l.behindSince.IsZero() {
		l.behindSince = now
	}
	if now.Sub(l.behindSince) < tableLagTolerance || now.Sub(l.rereadAt) < tableRereadInterval {
		return false
	}
	l.rereadAt = now
	return true
}

// behind reports whether another host is known to have a newer configuration.
func (l *tableLag) behind() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.behindSince.IsZero()
}

// catchUp records that a newer configuration was applied.
func (l *tableLag) catchUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behindSince = time.Time{}
}
