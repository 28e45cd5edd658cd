package target

import "sync/atomic"

// SendLatch records whether the first byte of a dispatch may have left this
// process. It leaves its initial state once and for all: it is either set,
// right before the first byte is written, or barred, after which no byte can be
// written. The zero value is ready for use.
type SendLatch struct {
	state atomic.Int32
}

const (
	latchOpen int32 = iota
	latchSet
	latchCancelled
)

// Set records that a byte may leave from now on. It returns false if the latch
// is barred; no byte may be written then.
func (l *SendLatch) Set() bool {
	return l.state.CompareAndSwap(latchOpen, latchSet) || l.IsSet()
}

// IsSet reports whether a byte may have left.
func (l *SendLatch) IsSet() bool {
	return l.state.Load() == latchSet
}

// Cancel forbids the dispatch. It returns true if no byte has left and none can
// leave any more, and false if the latch was set before.
func (l *SendLatch) Cancel() bool {
	l.state.CompareAndSwap(latchOpen, latchCancelled)
	return !l.IsSet()
}
