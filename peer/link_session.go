package peer

import (
	"time"
)

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
	l.changed.Notify()
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
