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
	// peerSilence is how long another host may not be heard before that is logged.
	peerSilence = time.Second
	// peerLook is the time between two looks for silent hosts.
	peerLook = 500 * time.Millisecond
)

// peerWatch logs which other hosts are heard and which fall silent.
type peerWatch struct {
	logger *log.Logger

	mu    sync.Mutex
	peers map[ident.Host]time.Time
}

func newPeerWatch(logger *log.Logger) *peerWatch {
	return &peerWatch{logger: logger, peers: make(map[ident.Host]time.Time)}
}

// hear notes that a host was heard.
func (w *peerWatch) hear(now time.Time, host ident.Host) {
	w.mu.Lock()
	_, known := w.peers[host]
	w.peers[host] = now
	w.mu.Unlock()
	if !known {
		w.logger.Info().Str(eventlog.FieldEvent, eventlog.EventPeerDetected).
			Str(eventlog.FieldPeer, string(host)).Msg("Another host is heard.")
	}
}

// heard returns the number of hosts that are heard.
func (w *peerWatch) heard(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, at := range w.peers {
		if now.Sub(at) < peerSilence {
			count++
		}
	}
	return count
}

// before returns the number of hosts that are heard whose names come before self's.
// Hosts that hear each other agree by it on which of them does a common duty.
func (w *peerWatch) before(now time.Time, self ident.Host) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for host, at := range w.peers {
		if host < self && now.Sub(at) < peerSilence {
			count++
		}
	}
	return count
}

// run looks for silent hosts until ctx ends.
func (w *peerWatch) run(ctx context.Context) error {
	return periodic.Run(ctx, peerLook, w.look)
}

func (w *peerWatch) look(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for host, at := range w.peers {
		if now.Sub(at) < peerSilence {
			continue
		}
		delete(w.peers, host)
		w.logger.Warn().Str(eventlog.FieldEvent, eventlog.EventPeerTimedOut).
			Str(eventlog.FieldPeer, string(host)).Msg("Another host has fallen silent.")
	}
}
