package peer

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
)

// link is the way to one other host: at most one session, the dials that lead
// to it, and the few frames that wait for it.
type link struct {
	host ident.Host

	// handling makes the handlers' calls for the host come one after another.
	deliveryMu sync.Mutex

	mu      sync.Mutex
	current *session
	// tail is closed when the handlers are done with the latest session.
	handlersDone <-chan struct{}
	pending      *outbox
	// waiting counts the calls that wait for a session.
	waiters int
	dials   dialState
	// changed is closed when a session opens or a dial fails.
	changed chan struct{}
	// retired says that the mesh has forgotten the link.
	removed bool
}

func newLink(host ident.Host) *link {
	return &link{
		host:    host,
		pending: newOutbox(maxPendingBytes),
		dials:   newDialState(),
		changed: make(chan struct{}),
	}
}

// deliver runs one call of the handlers.
func (l *link) deliver(f func()) {
	l.deliveryMu.Lock()
	defer l.deliveryMu.Unlock()
	f()
}

// session returns the open session, or nil.
func (l *link) openSession() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openSessionLocked()
}

func (l *link) openSessionLocked() *session {
	if l.current == nil || l.current.isClosed() {
		return nil
	}
	return l.current
}

// admit decides whether s is kept, as the host with the smaller name does. A
// session between the same two processes that opened after the connection of s
// began, or shortly before, stays, because both sides dialled at once. An older
// one gives way, because the other side dials only when it has lost it.
func (l *link) decide(s *session, number uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed {
		return errDuplicate
	}
	if open := l.openSessionLocked(); open != nil {
		if s.incarnation < open.incarnation {
			return errDuplicate
		}
		if s.incarnation == open.incarnation && s.startTime.Sub(open.opened) < simultaneousDialWindow {
			return errDuplicate
		}
	}
	s.number = number
	l.replaceSession(s)
	return nil
}

// follow takes over the decision of the host with the smaller name. An earlier
// decision that arrives late is ignored.
func (l *link) applyDecision(s *session) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed {
		return errDuplicate
	}
	if open := l.openSessionLocked(); open != nil {
		outdated := s.incarnation == open.incarnation && s.number < open.number
		if outdated || s.incarnation < open.incarnation {
			return errDuplicate
		}
	}
	l.replaceSession(s)
	return nil
}

// install makes s the current session. l.mu is held.
func (l *link) replaceSession(s *session) {
	if l.current != nil {
		l.current.close(errDuplicate)
	}
	s.previousDone = l.handlersDone
	l.handlersDone = s.handlersDone
	l.current = s
	queued, _ := l.pending.take()
	s.outbox.prepend(queued)
	l.pending = newOutbox(maxPendingBytes)
	l.dials.succeeded()
	l.notifyWaiters()
}

// closeIfSilent closes the session to a member that was declared dead, so that
// both sides exchange their state anew when it returns. It returns how long to
// wait before asking again.
func (l *link) closeIfIdle(now time.Time) (wait time.Duration) {
	s := l.openSession()
	if s == nil {
		return maxDialCheckInterval
	}
	if remaining := deadMemberIdleTimeout - s.idleTime(now); remaining > 0 {
		return remaining
	}
	s.close(errMemberDead)
	return maxDialCheckInterval
}

// remove forgets s after its end.
func (l *link) removeSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == s {
		l.current = nil
	}
}

// retire tells whether the link is of no use any more. From then on it opens no
// session; a host that comes back under the name gets another link.
func (l *link) tryRemove() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil || l.waiters > 0 || !l.pending.empty() || l.dials.inProgress || !l.handlersIdle() {
		return false
	}
	l.removed = true
	return true
}

// handled tells whether the handlers are done with the latest session.
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

// push queues a frame on the session. Without one, it waits for the session to
// open if mayDial says that the host can be dialled.
func (l *link) push(f *peerpb.Frame, clock *timeline.Clock, mayDial bool) (opened *session, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.openSessionLocked(); s != nil {
		return s, s.outbox.push(f, clock)
	}
	if !mayDial || l.dials.backingOff(time.Now()) {
		return nil, ErrNoSession
	}
	if err := l.pending.push(f, clock); err != nil {
		return nil, ErrNoSession
	}
	return nil, nil
}

// wanted tells whether frames or calls wait for a session.
func (l *link) hasDemand() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiters > 0 || !l.pending.empty()
}

// beginDial tells whether a dial begins now, and if not, how long to wait before
// asking again. eager is false for the host that should leave the first move to
// the other side.
func (l *link) tryBeginDial(now time.Time, immediate bool) (started bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openSessionLocked() != nil {
		l.dials.clearMissing()
		return false, maxDialCheckInterval
	}
	return l.dials.tryBegin(now, immediate)
}

// dialFailed ends a dial without a session. It tells whether frames that had
// been queued are lost.
func (l *link) dialFailed(now time.Time) (lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dials.failed(now)
	l.notifyWaiters()
	if l.openSessionLocked() != nil {
		return false
	}
	lost = !l.pending.empty()
	l.pending = newOutbox(maxPendingBytes)
	return lost
}

// dialYielded ends a dial that gave way to a connection from the other side,
// which is about to become the session.
func (l *link) dialSuperseded(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dials.failed(now)
}

// wait begins to wait for a session and returns it if it is open already. The
// caller calls done when it stops waiting.
func (l *link) addWaiter() (open *session, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters++
	return l.openSessionLocked(), l.changed
}

func (l *link) removeWaiter() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters--
}

func (l *link) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}
