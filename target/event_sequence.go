package target

// placement tells what to do with a frame.
type disposition int

const (
	// placeNext: the frame continues the stream.
	dispositionDeliver disposition = iota
	// placeRepeated: the frame was passed on before.
	dispositionDuplicate
	// placeSkipped: frames are missing before this one.
	dispositionGap
	// placeInvalid: the frame breaks the numbering.
	dispositionInvalid
)

// sequence checks that the frames of one stream, over all its connections, are
// passed on once each and in order.
//
// A frame with generated text has the offset of its token, from 1. Frames
// before the first token have the offset 0, frames after the last token repeat
// its offset. A stream without numbers is accepted as it comes and cannot be
// resumed.
type eventSequence struct {
	receivedAny bool
	hasIDs      bool
	lastOffset  uint64

	preamblesDelivered   int
	resumed              bool
	finishDelivered      bool
	usageDelivered       bool
	preamblesSinceResume int
}

// resumeFrom returns the offset after which a resumed stream has to go on. It
// returns false if the stream can't be resumed.
func (s *eventSequence) resumeOffset() (uint64, bool) {
	return s.lastOffset, s.hasIDs || !s.receivedAny
}

// reconnected tells that the frames that follow come from a resumed stream.
func (s *eventSequence) markResumed() {
	s.resumed = true
	s.preamblesSinceResume = 0
}

func (s *eventSequence) classify(e *sseEvent, m *engineMessage) disposition {
	if !s.receivedAny {
		s.receivedAny, s.hasIDs = true, e.hasID
	}
	if e.hasID != s.hasIDs {
		return s.classifyMixed(e)
	}
	if !s.hasIDs {
		return dispositionDeliver
	}
	if e.isDone() || m.isFinish() || m.isUsage() {
		return s.classifyTrailer(e, m)
	}
	if e.id == 0 {
		return s.classifyPreamble()
	}
	return s.classifyToken(e)
}

// placeOdd accepts an end marker without a number.
func (s *eventSequence) classifyMixed(e *sseEvent) disposition {
	if e.isDone() && !e.hasID {
		return dispositionDeliver
	}
	return dispositionInvalid
}

func (s *eventSequence) classifyTrailer(e *sseEvent, m *engineMessage) disposition {
	if e.id > s.lastOffset {
		return dispositionGap
	}
	if e.id < s.lastOffset {
		return dispositionInvalid
	}
	if e.isDone() {
		return dispositionDeliver
	}
	return s.classifyOnce(m)
}

// placeOnce drops the second finish frame and the second usage frame.
func (s *eventSequence) classifyOnce(m *engineMessage) disposition {
	delivered := &s.usageDelivered
	if m.isFinish() {
		delivered = &s.finishDelivered
	}
	if *delivered {
		return dispositionDuplicate
	}
	*delivered = true
	return dispositionDeliver
}

// placePreamble drops frames before the first token that a resumed stream
// repeats.
func (s *eventSequence) classifyPreamble() disposition {
	if s.lastOffset > 0 {
		return dispositionDuplicate
	}
	s.preamblesSinceResume++
	if s.resumed && s.preamblesSinceResume <= s.preamblesDelivered {
		return dispositionDuplicate
	}
	s.preamblesDelivered++
	return dispositionDeliver
}

func (s *eventSequence) classifyToken(e *sseEvent) disposition {
	switch {
	case e.id <= s.lastOffset:
		return dispositionDuplicate
	case e.id > s.lastOffset+1:
		return dispositionGap
	}
	s.lastOffset = e.id
	return dispositionDeliver
}
