package eventlog

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxLineBytes bounds the length of a line that is read. Longer ones are no log lines.
const maxLineBytes = 1 << 20

// Scanner reads the lines of a log. It holds one line at a time.
type Scanner struct {
	reader *bufio.Reader
	object []byte
	number int
	err    error
}

// NewScanner returns a Scanner of the log.
func NewScanner(log io.Reader) *Scanner {
	return &Scanner{reader: bufio.NewReaderSize(log, maxLineBytes)}
}

// Scan advances to the next line. It returns false at the end of the log or at an error.
func (s *Scanner) Scan() bool {
	if s.err != nil {
		return false
	}
	text, err := s.reader.ReadSlice('\n')
	tooLong := false
	for errors.Is(err, bufio.ErrBufferFull) {
		tooLong = true
		text, err = s.reader.ReadSlice('\n')
	}
	s.err = err
	if err != nil && len(text) == 0 && !tooLong {
		return false
	}
	s.number++
	s.object = nil
	if brace := bytes.IndexByte(text, '{'); brace >= 0 && !tooLong {
		s.object = text[brace:]
	}
	return true
}

// Object returns the line without what a log collector put before its JSON object, or nil if
// the line has none. It is valid until the next call of Scan.
func (s *Scanner) Object() []byte { return s.object }

// Number returns the number of the line, from 1.
func (s *Scanner) Number() int { return s.number }

// Err returns the error that ended the log, or nil at its end.
func (s *Scanner) Err() error {
	if errors.Is(s.err, io.EOF) {
		return nil
	}
	return Error.Wrap(s.err)
}
