package relay

import (
	"errors"
	"io"

	"github.com/cornelyard/cornelyard/target"
)

// eventBatch holds events of a stream that are written together. Comments are written
// with the event that follows them.
type eventBatch struct {
	raw []byte
	// count is the number of events, without comments.
	count int
	// lastID is the ID of the last event, if hasIDs says that it has one.
	lastID uint64
	hasIDs bool
}

// read adds the next event and those that have arrived with it. It returns io.EOF if the stream
// ends before another event.
func (b *eventBatch) read(events *target.EventReader, continuation *target.Continuation) error {
	for first := true; first || len(b.raw) < maxBatchBytes && events.Buffered(); first = false {
		event, err := events.Next()
		if first && errors.Is(err, io.EOF) {
			return err
		}
		if err != nil {
			return streamError(err)
		}
		if err := continuation.Check(event); err != nil {
			return continuationError(err)
		}
		b.add(event)
	}
	return nil
}

func (b *eventBatch) add(e target.Event) {
	b.raw = append(b.raw, e.Raw...)
	if !e.HasContent {
		return
	}
	b.count++
	b.hasIDs = e.HasID
	if e.HasID {
		b.lastID = e.ID
	}
}

func (b *eventBatch) reset() { *b = eventBatch{raw: b.raw[:0]} }
