package target

// disposition says how to handle an event of a stream.
type disposition int

const (
	// dispositionDeliver: the event is next in order and is delivered.
	dispositionDeliver disposition = iota
	// dispositionDuplicate: the event has been delivered before.
	dispositionDuplicate
	// dispositionGap: events are missing before this one.
	dispositionGap
	// dispositionInvalid: the event ID is inconsistent with the earlier ones.
	dispositionInvalid
)

// eventSequence checks that each event of a stream is delivered exactly once and in
// order, across all connections of the stream.
//
// The ID of an event that carries generated text is the offset of its token,
// counted from 1. Events before the first token have the ID 0, and events after the
// last token repeat its offset. A stream without event IDs is delivered as it
// arrives and cannot be resumed.
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

// resumeOffset returns the offset after which a resumed stream must continue. It
// returns false if the stream cannot be resumed.
func (s *eventSequence) resumeOffset() (uint64, bool) {
	return s.lastOffset, s.hasIDs || !s.receivedAny
}

// markResumed records that the following events come from a resumed stream.
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

// classifyMixed handles an event that has an ID in a stream without IDs, or the
// reverse. Only an end-of-stream marker without an ID is valid.
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

// classifyOnce classifies a repeated finish or usage event as a duplicate.
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

// classifyPreamble classifies the events before the first token that a resumed
// stream repeats as duplicates.
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
