package peer

import (
	"sync"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
)

// outbox is the bounded queue of encoded frames for one host. Frames that are
// queued while a write is in progress leave together in the next one.
type outbox struct {
	limit int
	// ready has an item when there is something to take.
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

// push queues f with the clock's reading. It returns ErrBacklogFull if the queue is
// full; from then on it takes nothing more, because order would be lost.
func (o *outbox) push(f *peerpb.Frame, clock *timeline.Clock) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.overflowed || len(o.buffer) >= o.limit {
		o.overflowed = true
		return ErrBacklogFull
	}
	buffer, err := appendFrame(o.buffer, f, clock.Now())
	if err != nil {
		return err
	}
	o.buffer = buffer
	o.frames++
	o.signal()
	return nil
}

// prepend puts already encoded frames before all others.
func (o *outbox) prepend(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buffer = append(encoded, o.buffer...)
	o.signal()
}

// take returns all queued frames and their number. The result is valid until
// the next call.
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

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
