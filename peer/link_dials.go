package peer

import (
	"time"
)

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
	l.changed.Notify()
	if l.openSessionLocked() != nil {
		return false
	}
	return l.dropPending()
}

// dialSuperseded records a dial that was rejected in favour of another connection to
// the host, which is open or about to become the session.
func (l *link) dialSuperseded(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dials.failed(now)
}
