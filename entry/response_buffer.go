package entry

import (
	"context"
	"sync"
	"time"
)

// slowCallerTimeout limits how long a response waits for a slow caller while the
// buffer is full.
const slowCallerTimeout = 30 * time.Second

// responseBuffer passes one response from its execution to the goroutine that
// serves the caller, through a bounded buffer.
type responseBuffer struct {
	mu        sync.Mutex
	head      *responseHead
	buffer    []byte
	limit     int
	ended     bool
	refusal   *refusal
	discarded bool

	readable chan struct{}
	writable chan struct{}
}

func newResponseBuffer(limit int) *responseBuffer {
	return &responseBuffer{
		limit:    limit,
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
	}
}

// setHead makes the head available to read.
func (r *responseBuffer) setHead(head *responseHead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = head
	signal(r.readable)
}

// write appends a part of the body. It blocks while the buffer is full, and returns
// errSlowCaller after slowCallerTimeout.
func (r *responseBuffer) write(ctx context.Context, p []byte) error {
	if r.tryWrite(p) {
		return nil
	}
	timer := time.NewTimer(slowCallerTimeout)
	defer timer.Stop()
	for {
		select {
		case <-r.writable:
			if r.tryWrite(p) {
				return nil
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
			return errSlowCaller
		}
	}
}

// tryWrite returns false if the buffer is full. A part larger than the limit is
// accepted when the buffer is empty.
func (r *responseBuffer) tryWrite(p []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.discarded {
		return true
	}
	if len(r.buffer) > 0 && len(r.buffer)+len(p) > r.limit {
		return false
	}
	r.buffer = append(r.buffer, p...)
	signal(r.readable)
	return true
}

// finish ends the response; a nil refusal means that it is complete.
func (r *responseBuffer) finish(refusal *refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.refusal = true, refusal
	signal(r.readable)
}

// discard drops the buffered bytes and all later writes.
func (r *responseBuffer) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discarded, r.buffer = true, nil
	signal(r.writable)
}

// read returns the response's state and the body's bytes since the last call,
// appended to into.
func (r *responseBuffer) read(into []byte) responsePart {
	r.mu.Lock()
	defer r.mu.Unlock()
	part := responsePart{
		head:    r.head,
		bytes:   append(into, r.buffer...),
		ended:   r.ended,
		refusal: r.refusal,
	}
	r.buffer = r.buffer[:0]
	signal(r.writable)
	return part
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
