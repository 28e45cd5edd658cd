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
	// peerTimeout is the time without a message after which a peer counts as silent.
	peerTimeout = time.Second
	// peerCheckInterval is the time between two checks for silent peers.
	peerCheckInterval = 500 * time.Millisecond
)

// peerMonitor tracks from which peers messages arrive, and logs the peers that appear or
// time out.
type peerMonitor struct {
	logger *log.Logger

	mu        sync.Mutex
	lastHeard map[ident.Host]time.Time
}

func newPeerMonitor(logger *log.Logger) *peerMonitor {
	return &peerMonitor{logger: logger, lastHeard: make(map[ident.Host]time.Time)}
}

// observe records a message from a host.
func (m *peerMonitor) observe(now time.Time, host ident.Host) {
	m.mu.Lock()
	_, known := m.lastHeard[host]
	m.lastHeard[host] = now
	m.mu.Unlock()
	if !known {
		m.logger.Info().Str(eventlog.FieldEvent, eventlog.EventPeerDetected).
			Str(eventlog.FieldPeer, string(host)).Msg("Peer detected; its messages are being received.")
	}
}

// active returns the number of hosts that have not timed out.
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

// activeHosts returns the hosts that have not timed out.
func (m *peerMonitor) activeHosts(now time.Time) []ident.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := make([]ident.Host, 0, len(m.lastHeard))
	for host, at := range m.lastHeard {
		if now.Sub(at) < peerTimeout {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// activeBefore returns the number of active hosts whose names sort before self. Hosts
// that receive each other's messages use it to agree on which of them perform a shared
// task.
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

// run checks for timed-out peers until ctx is done.
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
			Str(eventlog.FieldPeer, string(host)).Msg("Peer timed out; no message received within the timeout.")
	}
}
