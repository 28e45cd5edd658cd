package target

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const frameBufferBytes = 16 << 10

// frameReader splits a stream into server-sent events.
type frameReader struct {
	reader   *bufio.Reader
	maxBytes int
	current  frame
}

func newFrameReader(r io.Reader, maxBytes int) *frameReader {
	return &frameReader{reader: bufio.NewReaderSize(r, frameBufferBytes), maxBytes: maxBytes}
}

// next returns the next event, which is valid until the next call. It returns
// the connection's error if the stream ends in the middle of an event, and
// io.EOF if it ends between two.
func (r *frameReader) next() (*frame, error) {
	r.current = frame{raw: r.current.raw[:0], data: r.current.data[:0]}
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
		return &r.current, nil
	}
}

func (r *frameReader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.current.raw) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// line appends one line to the event's raw bytes and returns it without its end.
func (r *frameReader) line() ([]byte, error) {
	start := len(r.current.raw)
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(r.current.raw)+len(part) > r.maxBytes {
			return nil, fail(FailedProtocol, errTooLarge)
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

// empty reports whether only empty lines were read so far.
func (f *frame) empty() bool {
	return len(bytes.Trim(f.raw, "\r\n")) == 0
}

func (f *frame) addLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(f.data) > 0 {
			f.data = append(f.data, '\n')
		}
		f.data = append(f.data, value...)
	case "id":
		number, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return fail(FailedProtocol, Error.New("a frame's number is not a number"))
		}
		f.number, f.numbered = number, true
	}
	return nil
}
