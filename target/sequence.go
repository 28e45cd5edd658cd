package target

// placement tells what to do with a frame.
type placement int

const (
	// placeNext: the frame continues the stream.
	placeNext placement = iota
	// placeRepeated: the frame was passed on before.
	placeRepeated
	// placeSkipped: frames are missing before this one.
	placeSkipped
	// placeInvalid: the frame breaks the numbering.
	placeInvalid
)

// sequence checks that the frames of one stream, over all its connections, are
// passed on once each and in order.
//
// A frame with generated text has the offset of its token, from 1. Frames
// before the first token have the offset 0, frames after the last token repeat
// its offset. A stream without numbers is accepted as it comes and cannot be
// resumed.
type sequence struct {
	started  bool
	numbered bool
	last     uint64

	preambles   int
	resumed     bool
	finishSeen  bool
	usageSeen   bool
	seenInBreak int
}

// resumeFrom returns the offset after which a resumed stream has to go on. It
// returns false if the stream can't be resumed.
func (s *sequence) resumeFrom() (uint64, bool) {
	return s.last, s.numbered || !s.started
}

// reconnected tells that the frames that follow come from a resumed stream.
func (s *sequence) reconnected() {
	s.resumed = true
	s.seenInBreak = 0
}

func (s *sequence) place(f *frame, m *engineMessage) placement {
	if !s.started {
		s.started, s.numbered = true, f.numbered
	}
	if f.numbered != s.numbered {
		return s.placeOdd(f)
	}
	if !s.numbered {
		return placeNext
	}
	if f.isDone() || m.isFinish() || m.isUsage() {
		return s.placeTrailer(f, m)
	}
	if f.number == 0 {
		return s.placePreamble()
	}
	return s.placeToken(f)
}

// placeOdd accepts an end marker without a number.
func (s *sequence) placeOdd(f *frame) placement {
	if f.isDone() && !f.numbered {
		return placeNext
	}
	return placeInvalid
}

func (s *sequence) placeTrailer(f *frame, m *engineMessage) placement {
	if f.number > s.last {
		return placeSkipped
	}
	if f.number < s.last {
		return placeInvalid
	}
	if f.isDone() {
		return placeNext
	}
	return s.placeOnce(m)
}

// placeOnce drops the second finish frame and the second usage frame.
func (s *sequence) placeOnce(m *engineMessage) placement {
	seen := &s.usageSeen
	if m.isFinish() {
		seen = &s.finishSeen
	}
	if *seen {
		return placeRepeated
	}
	*seen = true
	return placeNext
}

// placePreamble drops frames before the first token that a resumed stream
// repeats.
func (s *sequence) placePreamble() placement {
	if s.last > 0 {
		return placeRepeated
	}
	s.seenInBreak++
	if s.resumed && s.seenInBreak <= s.preambles {
		return placeRepeated
	}
	s.preambles++
	return placeNext
}

func (s *sequence) placeToken(f *frame) placement {
	switch {
	case f.number <= s.last:
		return placeRepeated
	case f.number > s.last+1:
		return placeSkipped
	}
	s.last = f.number
	return placeNext
}
