package target

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/cornelyard/cornelyard/internal/bytebudget"
)

const (
	sseBufferBytes = 16 << 10
	// eventCopies is how often an event is held: as received, its data, and in what is
	// written to the caller.
	eventCopies = 3
)

// sseReader splits a stream into server-sent events.
type sseReader struct {
	reader   *bufio.Reader
	maxBytes int
	current  sseEvent
	// reservation is the memory that the current event may use.
	reservation *bytebudget.Reservation
	// bytes counts what was read since the last event with content.
	bytes int
}

func newSSEReader(r io.Reader, maxBytes int, budget *bytebudget.Budget) *sseReader {
	return &sseReader{
		reader:      bufio.NewReaderSize(r, sseBufferBytes),
		maxBytes:    maxBytes,
		reservation: budget.Reserve(),
	}
}

// close gives back the memory of the events. The last one must not be used any more.
func (r *sseReader) close() { r.reservation.Release() }

// next returns the next event, which is valid until the next call. It returns a *Failure
// if maxBytes are exceeded before the end of an event with content. It returns
// io.EOF if the stream ends at an event boundary, and io.ErrUnexpectedEOF or the
// connection's error if it ends inside an event.
func (r *sseReader) next() (*sseEvent, error) {
	r.current = sseEvent{raw: r.current.raw[:0], data: r.current.data[:0]}
	for {
		line, err := r.line()
		if err != nil {
			return nil, r.endError(err)
		}
		if len(line) > 0 {
			if err := r.current.addLine(line); err != nil {
				return nil, err
			}
			continue
		}
		if r.current.empty() {
			r.current.raw = r.current.raw[:0]
			continue
		}
		if r.current.hasContent() {
			r.bytes = 0
		}
		return &r.current, nil
	}
}

func (r *sseReader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.current.raw) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// line appends one line to the event's raw bytes and returns it without its line
// terminator.
func (r *sseReader) line() ([]byte, error) {
	start := len(r.current.raw)
	for {
		part, err := r.reader.ReadSlice('\n')
		r.bytes += len(part)
		if r.bytes > r.maxBytes {
			return nil, newFailure(FailedProtocol, errTooLarge)
		}
		if !r.reservation.Grow(eventCopies * int64(len(r.current.raw)+len(part))) {
			return nil, newFailure(FailedProtocol, bytebudget.ErrExhausted)
		}
		r.current.raw = append(r.current.raw, part...)
		if err == nil {
			return bytes.TrimRight(r.current.raw[start:], "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// empty reports whether only empty lines have been read so far.
func (e *sseEvent) empty() bool {
	return len(bytes.Trim(e.raw, "\r\n")) == 0
}

func (e *sseEvent) addLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(e.data) > 0 {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	case "id":
		id, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return newFailure(FailedProtocol, Error.New("event ID is not an unsigned integer"))
		}
		e.id, e.hasID = id, true
	}
	return nil
}
