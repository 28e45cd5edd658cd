package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
)

const (
	// peerTimeout is how long another host may not be heard before that is logged.
	peerTimeout = time.Second
	// peerCheckInterval is the time between two looks for silent hosts.
	peerCheckInterval = 500 * time.Millisecond
)

// peerMonitor logs which other hosts are heard and which fall silent.
type peerMonitor struct {
	logger *log.Logger

	mu        sync.Mutex
	lastHeard map[ident.Host]time.Time
}

func newPeerMonitor(logger *log.Logger) *peerMonitor {
	return &peerMonitor{logger: logger, lastHeard: make(map[ident.Host]time.Time)}
}

// hear notes that a host was heard.
func (m *peerMonitor) observe(now time.Time, host ident.Host) {
	m.mu.Lock()
	_, known := m.lastHeard[host]
	m.lastHeard[host] = now
	m.mu.Unlock()
	if !known {
		m.logger.Info().Str(eventlog.FieldEvent, eventlog.EventPeerDetected).
			Str(eventlog.FieldPeer, string(host)).Msg("Another host is heard.")
	}
}

// heard returns the number of hosts that are heard.
func (m *peerMonitor) active(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, at := range m.lastHeard {
		if now.Sub(at) < peerTimeout {
			count++
		}
	}
	return count
}

// before returns the number of hosts that are heard whose names come before self's.
// Hosts that hear each other agree by it on which of them does a common duty.
func (m *peerMonitor) activeBefore(now time.Time, self ident.Host) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for host, at := range m.lastHeard {
		if host < self && now.Sub(at) < peerTimeout {
			count++
		}
	}
	return count
}

// run looks for silent hosts until ctx ends.
func (m *peerMonitor) run(ctx context.Context) error {
	return periodic.Run(ctx, peerCheckInterval, m.checkTimeouts)
}

func (m *peerMonitor) checkTimeouts(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for host, at := range m.lastHeard {
		if now.Sub(at) < peerTimeout {
			continue
		}
		delete(m.lastHeard, host)
		m.logger.Warn().Str(eventlog.FieldEvent, eventlog.EventPeerTimedOut).
			Str(eventlog.FieldPeer, string(host)).Msg("Another host has fallen silent.")
	}
}
