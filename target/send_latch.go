package target

import "sync/atomic"

// SendLatch records whether any byte of a dispatch may have been sent. It changes
// its state at most once: it is either set, immediately before the first byte is
// written, or cancelled, after which no byte can be written. The zero value is
// ready for use.
type SendLatch struct {
	state atomic.Int32
}

const (
	latchOpen int32 = iota
	latchSet
	latchCancelled
)

// Set records that bytes may be sent from now on. It returns false if the latch is
// cancelled; nothing may be written then.
func (l *SendLatch) Set() bool {
	return l.state.CompareAndSwap(latchOpen, latchSet) || l.IsSet()
}

// IsSet reports whether any byte may have been sent.
func (l *SendLatch) IsSet() bool {
	return l.state.Load() == latchSet
}

// Cancel prevents the dispatch from being sent. It returns true if no byte was sent
// and none can be sent any more, and false if the latch was already set.
func (l *SendLatch) Cancel() bool {
	l.state.CompareAndSwap(latchOpen, latchCancelled)
	return !l.IsSet()
}
