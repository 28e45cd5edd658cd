package peer

import (
	"errors"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
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
	// changed is closed when a session opens or a dial fails.
	changed chan struct{}
	// removed means that the mesh no longer uses the link.
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

// deliver runs one handler call.
func (l *link) deliver(f func()) {
	l.deliveryMu.Lock()
	defer l.deliveryMu.Unlock()
	f()
}

// openSession returns the open session, or nil.
func (l *link) openSession() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openSessionLocked()
}

// openSessionLocked is openSession with l.mu held.
func (l *link) openSessionLocked() *session {
	if l.current == nil || l.current.isClosed() {
		return nil
	}
	return l.current
}

// decide determines whether s is kept. It runs on the host with the smaller name. It
// keeps an open session between the same two processes if that opened after the
// connection of s was started, or less than simultaneousDialWindow before, because
// both sides dialled at the same time. It replaces an older session, because the
// remote host dials again only after it has lost the session.
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

// applyDecision applies the decision of the host with the smaller name to keep s. It
// rejects a decision that arrives after a later one.
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

// replaceSession makes s the current session and closes the previous one. l.mu is
// held.
func (l *link) replaceSession(s *session) {
	if l.current != nil {
		l.current.close(errDuplicate)
	}
	s.previousDone = l.handlersDone
	l.handlersDone = s.handlersDone
	l.current = s
	s.framesLost = l.pending.isOverflowed()
	if !s.framesLost {
		queued, _ := l.pending.take()
		s.outbox.prepend(queued)
	}
	l.pending = newOutbox(maxPendingBytes)
	l.dials.succeeded()
	l.notifyWaiters()
}

// closeIfIdle closes an idle session to a member that was declared dead, so that both
// sides resynchronize their state when the member returns. It returns how long to wait
// before the next check.
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

// removeSession clears the current session if it is s.
func (l *link) removeSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == s {
		l.current = nil
	}
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

// push queues a frame on the open session. If there is none and mayDial is set, it
// queues the frame until a session opens. While earlier frames are queued, it never
// refuses a frame for another reason than a full queue, which drops all of them: a session
// must not begin with frames from before and after a refused one. A refused frame takes a
// number too, so that the other host would notice. A frame that is too large does not: it is
// the sender's fault, and ending the session would not help.
func (l *link) push(f *peerpb.Frame, clock *timeline.Clock, mayDial bool) (opened *session, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := l.lastNumber + 1
	opened, err = l.pushNumbered(f, clock, mayDial, number)
	if !errors.Is(err, errFrameTooLarge) {
		l.lastNumber = number
	}
	return opened, err
}

// pushNumbered is push with l.mu held, for a frame with a number.
func (l *link) pushNumbered(f *peerpb.Frame, clock *timeline.Clock, mayDial bool, number uint64) (opened *session, err error) {
	if s := l.openSessionLocked(); s != nil {
		return s, s.outbox.push(f, clock, number)
	}
	if l.pending.empty() && (!mayDial || l.dials.backingOff(time.Now())) {
		return nil, ErrNoSession
	}
	err = l.pending.push(f, clock, number)
	if errors.Is(err, ErrBacklogFull) {
		return nil, ErrNoSession
	}
	return nil, err
}

// hasDemand reports whether frames or calls wait for a session.
func (l *link) hasDemand() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiters > 0 || !l.pending.empty()
}

// tryBeginDial marks a dial as started if one is due. Otherwise it returns how long to
// wait before trying again. immediate is false if the remote host should dial first.
func (l *link) tryBeginDial(now time.Time, immediate bool) (started bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openSessionLocked() != nil {
		l.dials.clearMissing()
		return false, maxDialCheckInterval
	}
	return l.dials.tryBegin(now, immediate)
}

// dialFailed records a dial that ended without a session. It drops the queued frames
// unless a session is open, and reports whether frames were lost.
func (l *link) dialFailed(now time.Time) (lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dials.failed(now)
	l.notifyWaiters()
	if l.openSessionLocked() != nil {
		return false
	}
	return l.dropPending()
}

// dropPending drops the queued frames and reports whether there were any. l.mu is held.
func (l *link) dropPending() (lost bool) {
	lost = !l.pending.empty()
	l.pending = newOutbox(maxPendingBytes)
	return lost
}

// hostRemoved drops the frames queued for a host that is no longer a member and has no
// session. It reports whether frames were lost.
func (l *link) hostRemoved() (lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openSessionLocked() == nil && l.dropPending()
}

// dialSuperseded records a dial that was rejected in favour of another connection to
// the host, which is open or about to become the session.
func (l *link) dialSuperseded(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dials.failed(now)
}

// addWaiter registers a call that waits for a session, and returns the session if one
// is open. The caller must call removeWaiter when it stops waiting.
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
