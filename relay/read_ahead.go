package relay

import (
	"io"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/bytebudget"
)

const (
	// blockedWriteTime is how long a write to a caller may block before the rest of the
	// response is read ahead. It is far below the seconds after which targets abort a
	// response that stays unread.
	blockedWriteTime = 500 * time.Millisecond
	// maxReadAheadBytes bounds what is read ahead for one caller.
	maxReadAheadBytes = 256 << 10
	// readAheadStep is the most that is read at once.
	readAheadStep = 4 << 10
)

// readAheadBody is the body of a stream. While its caller reads nothing, it is read ahead into a
// buffer, so that the target does not abort the response and is free for others. Read is
// called from one goroutine; write marks when that one is busy with the caller.
type readAheadBody struct {
	source      io.ReadCloser
	reservation *bytebudget.Reservation
	timer       *time.Timer

	mu      sync.Mutex
	arrived sync.Cond
	// writing is set during a write to the caller, ahead once the source is read ahead.
	writing bool
	ahead   bool
	closed  bool
	buffer  []byte
	// err is the error that ended the source. It follows the buffer.
	err error
}

// newReadAheadBody returns the body with a buffer that is charged to the reservation. Close closes
// the source and releases the reservation.
func newReadAheadBody(source io.ReadCloser, reservation *bytebudget.Reservation) *readAheadBody {
	b := &readAheadBody{source: source, reservation: reservation}
	b.arrived.L = &b.mu
	return b
}

// write calls f, which writes to the caller. If that blocks, the source is read ahead.
func (b *readAheadBody) write(f func() error) error {
	b.setWriting(true)
	defer b.setWriting(false)
	return f()
}

func (b *readAheadBody) setWriting(writing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writing = writing
	switch {
	case b.ahead:
	case !writing:
		b.timer.Stop()
	case b.timer == nil:
		b.timer = time.AfterFunc(blockedWriteTime, b.startReading)
	default:
		b.timer.Reset(blockedWriteTime)
	}
}

// startReading starts to read ahead, unless the write has ended meanwhile.
func (b *readAheadBody) startReading() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.writing || b.ahead || b.closed {
		return
	}
	b.ahead = true
	go b.readAhead()
}

// readAhead reads the source to its end.
func (b *readAheadBody) readAhead() {
	step := make([]byte, readAheadStep)
	for {
		n, err := b.source.Read(step)
		if !b.add(step[:n], err) {
			return
		}
	}
}

// add adds to the buffer what was read. It returns false once the source is not to be read any
// more. If there is no room, it closes the source, which makes room at the target.
func (b *readAheadBody) add(read []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.arrived.Signal()
	if b.closed {
		return false
	}
	size := len(b.buffer) + len(read)
	if size > maxReadAheadBytes || !b.reservation.Grow(int64(size)) {
		_ = b.source.Close()
		b.err = errCallerTooSlow
		return false
	}
	b.buffer = append(b.buffer, read...)
	b.err = err
	return err == nil
}

// Read implements io.Reader.
func (b *readAheadBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ahead {
		b.mu.Unlock()
		n, err := b.source.Read(p)
		b.mu.Lock()
		return n, err
	}
	for len(b.buffer) == 0 && b.err == nil && !b.closed {
		b.arrived.Wait()
	}
	if len(b.buffer) > 0 {
		n := copy(p, b.buffer)
		b.buffer = append(b.buffer[:0], b.buffer[n:]...)
		return n, nil
	}
	if b.err == nil {
		return 0, io.ErrClosedPipe
	}
	return 0, b.err
}

// Close implements io.Closer.
func (b *readAheadBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed = true
		b.reservation.Release()
		b.arrived.Signal()
	}
	return b.source.Close()
}
