package relay

import (
	"errors"
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
	// unreadTime is how long a response must have been left unread because its caller is slow, for
	// its end to count as caused by that. Targets abort a response that stays unread for seconds.
	unreadTime = time.Second
)

// readAheadBody is the body of a stream or of a long response. While its caller reads nothing, it is
// read ahead into a buffer, so that the target does not abort the response and is free for others.
// Read is called from one goroutine; write marks when that one is busy with the caller.
type readAheadBody struct {
	source      io.ReadCloser
	reservation *bytebudget.Reservation
	timer       *time.Timer
	// leavesUnread says that what the buffer has no room for is left unread until the caller
	// reads on. Otherwise the source is closed then.
	leavesUnread bool

	mu sync.Mutex
	// changed is signalled when the buffer has grown or shrunk.
	changed sync.Cond
	// writing is set during a write to the caller, ahead once the source is read ahead.
	writing bool
	ahead   bool
	closed  bool
	buffer  []byte
	// unread is how long the source was left unread before the last time it was read.
	unread time.Duration
	// err is the error that ended the source. It follows the buffer.
	err error
}

// newReadAheadBody returns the body with a buffer that is charged to the reservation. Close closes
// the source and releases the reservation.
func newReadAheadBody(source io.ReadCloser, reservation *bytebudget.Reservation) *readAheadBody {
	b := &readAheadBody{source: source, reservation: reservation}
	b.changed.L = &b.mu
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
// more. If there is no room, it waits for the caller or closes the source, which makes room at the
// target.
func (b *readAheadBody) add(read []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.changed.Broadcast()
	if b.leavesUnread {
		err = b.awaitRoom(len(read), err)
	}
	if b.closed {
		return false
	}
	if !b.leavesUnread && !b.hasRoom(len(read)) {
		_ = b.source.Close()
		b.err = errCallerTooSlow
		return false
	}
	b.buffer = append(b.buffer, read...)
	b.err = err
	return err == nil
}

// hasRoom reports whether n more bytes fit into the buffer and the budget.
func (b *readAheadBody) hasRoom(n int) bool {
	size := len(b.buffer) + n
	return size <= maxReadAheadBytes && b.reservation.Grow(int64(size))
}

// awaitRoom waits until n more bytes fit, or the buffer is empty. It returns what the error that came
// with them means.
func (b *readAheadBody) awaitRoom(n int, err error) error {
	if err != nil && !errors.Is(err, io.EOF) && b.unread > unreadTime {
		err = errCallerTooSlow
	}
	began := time.Now()
	for !b.closed && len(b.buffer) > 0 && !b.hasRoom(n) {
		b.changed.Wait()
	}
	b.unread = time.Since(began)
	return err
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
		b.changed.Wait()
	}
	if len(b.buffer) > 0 {
		n := copy(p, b.buffer)
		b.buffer = append(b.buffer[:0], b.buffer[n:]...)
		b.changed.Broadcast()
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
		b.changed.Broadcast()
	}
	return b.source.Close()
}
