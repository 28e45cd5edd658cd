package entry

import (
	"context"
	"sync"
	"time"
)

// slowCallerLimit bounds how long a stream waits for a caller whose buffer is
// full.
const slowCallerLimit = 30 * time.Second

// reply carries one answer from its execution to its caller through a bounded
// buffer.
type reply struct {
	mu        sync.Mutex
	head      *replyHead
	buffer    []byte
	limit     int
	ended     bool
	refusal   *refusal
	discarded bool

	readable chan struct{}
	writable chan struct{}
}

func newReply(limit int) *reply {
	return &reply{
		limit:    limit,
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
	}
}

// begin passes on the head.
func (r *reply) begin(head *replyHead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = head
	wake(r.readable)
}

// put passes on a piece of the body. It waits while the buffer is full, and
// returns errSlowCaller if that takes too long.
func (r *reply) put(ctx context.Context, p []byte) error {
	if r.tryPut(p) {
		return nil
	}
	timer := time.NewTimer(slowCallerLimit)
	defer timer.Stop()
	for {
		select {
		case <-r.writable:
			if r.tryPut(p) {
				return nil
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
			return errSlowCaller
		}
	}
}

// tryPut returns false if the buffer is full. A piece larger than the buffer is
// taken when the buffer is empty.
func (r *reply) tryPut(p []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.discarded {
		return true
	}
	if len(r.buffer) > 0 && len(r.buffer)+len(p) > r.limit {
		return false
	}
	r.buffer = append(r.buffer, p...)
	wake(r.readable)
	return true
}

// end passes on the end; a nil refusal says that the answer was whole.
func (r *reply) end(refusal *refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.refusal = true, refusal
	wake(r.readable)
}

// discard drops what is buffered and all that follows.
func (r *reply) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discarded, r.buffer = true, nil
	wake(r.writable)
}

// take returns what has come since the last call. It appends the body's bytes
// to into.
func (r *reply) take(into []byte) replyPart {
	r.mu.Lock()
	defer r.mu.Unlock()
	part := replyPart{
		head:    r.head,
		bytes:   append(into, r.buffer...),
		ended:   r.ended,
		refusal: r.refusal,
	}
	r.buffer = r.buffer[:0]
	wake(r.writable)
	return part
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
