package peer

import (
	"sync"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/broadcast"
)

// link is the connection state for one remote host: at most one session, the dials to
// the host, and the frames queued until a session opens.
type link struct {
	host ident.Host

	// deliveryMu serializes the handler calls for the host.
	deliveryMu sync.Mutex

	mu      sync.Mutex
	current *session
	// handlersDone is closed when the handlers have finished with the latest session.
	handlersDone <-chan struct{}
	pending      *outbox
	// lastNumber is the number of the last frame for the host.
	lastNumber uint64
	// waiters counts the calls that wait for a session.
	waiters int
	dials   dialState
	// changed notifies when a session opens or a dial fails.
	changed broadcast.Signal
	// removed means that the mesh no longer uses the link.
	removed bool
}

func newLink(host ident.Host) *link {
	return &link{
		host:    host,
		pending: newOutbox(maxPendingBytes),
		dials:   newDialState(),
		changed: broadcast.NewSignal(),
	}
}

// deliver runs one handler call.
func (l *link) deliver(f func()) {
	l.deliveryMu.Lock()
	defer l.deliveryMu.Unlock()
	f()
}

// tryRemove marks the link as removed if it is unused, and reports whether it did. A
// removed link opens no session; if the host returns, it gets a new link.
func (l *link) tryRemove() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil || l.waiters > 0 || !l.pending.empty() || l.dials.inProgress || !l.handlersIdle() {
		return false
	}
	l.removed = true
	return true
}

// handlersIdle reports whether the handlers have finished with the latest session.
func (l *link) handlersIdle() bool {
	if l.handlersDone == nil {
		return true
	}
	select {
	case <-l.handlersDone:
		return true
	default:
		return false
	}
}

// addWaiter registers a call that waits for a session, and returns the session if one
// is open. The caller must call removeWaiter when it stops waiting.
func (l *link) addWaiter() (open *session, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters++
	return l.openSessionLocked(), l.changed.Next()
}

func (l *link) removeWaiter() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters--
}
