package peer

import (
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
)

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
