package peer

import (
	"sync"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
)

// outbox is the bounded send queue of encoded frames for one host. Frames that are
// queued during a write are sent together in the next one.
type outbox struct {
	limit int
	// ready signals that frames are queued.
	ready chan struct{}

	mu          sync.Mutex
	buffer      []byte
	frames      int64
	spareBuffer []byte
	overflowed  bool
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, ready: make(chan struct{}, 1)}
}

// push queues f with its number and the current clock reading. It returns ErrBacklogFull
// if the queue is full. After that it accepts no frame, because a gap would break the order.
func (o *outbox) push(f *peerpb.Frame, clock *timeline.Clock, number uint64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.overflowed || len(o.buffer) >= o.limit {
		o.overflowed = true
		return ErrBacklogFull
	}
	buffer, err := appendFrame(o.buffer, f, clock.Now(), number)
	if err != nil {
		return err
	}
	o.buffer = buffer
	o.frames++
	o.signal()
	return nil
}

// prepend inserts encoded frames before all queued ones.
func (o *outbox) prepend(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buffer = append(encoded, o.buffer...)
	o.signal()
}

// take returns all queued frames and their number, and empties the queue. The result
// is valid until the next call.
func (o *outbox) take() ([]byte, int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken, frames := o.buffer, o.frames
	o.buffer = o.spareBuffer[:0]
	o.frames = 0
	o.spareBuffer = taken
	if cap(o.spareBuffer) > maxReusedBufferBytes {
		o.spareBuffer = nil
	}
	return taken, frames
}

func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.buffer) == 0
}

// isOverflowed reports whether a frame was refused because the queue was full.
func (o *outbox) isOverflowed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.overflowed
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
