package relay

import "github.com/cornelyard/cornelyard/target"

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
