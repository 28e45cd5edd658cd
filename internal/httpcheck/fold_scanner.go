package httpcheck

// statusDigit is the position of a status' first digit in the first line of a head.
const statusDigit = len("HTTP/1.1 ")

// FoldScanner finds lines of a head that go on with the line before them. Senders must not write such
// lines (RFC 9112, section 5.2), and net/http joins them, so that a field whose name begins with a
// space becomes a part of another field's value. The zero value expects the first byte of a head.
type FoldScanner struct {
	// line is the index of the current line, length its length so far without its end.
	line, length int
	// interim is set if the head has a 1xx status, so that another head follows.
	interim bool
	ended   bool
	folded  bool
}

// Scan takes the next bytes of a connection. It ignores what follows the head.
func (s *FoldScanner) Scan(p []byte) {
	for _, b := range p {
		if s.ended {
			return
		}
		s.scan(b)
	}
}

// Folded reports whether a line of the head goes on with another one.
func (s *FoldScanner) Folded() bool { return s.folded }

func (s *FoldScanner) scan(b byte) {
	switch {
	case b == '\n':
		s.endLine()
		return
	case b == '\r' && s.length == 0:
		return
	case s.length == 0 && s.line > 0 && (b == ' ' || b == '\t'):
		s.folded = true
	case s.length == statusDigit && s.line == 0:
		s.interim = b == '1'
	}
	s.length++
}

// endLine ends a line. An empty one ends the head.
func (s *FoldScanner) endLine() {
	switch {
	case s.length > 0:
		s.line++
		s.length = 0
	case s.interim:
		*s = FoldScanner{folded: s.folded}
	default:
		s.ended = true
	}
}
