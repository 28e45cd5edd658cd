package target

import (
	"bytes"
	"io"

	"github.com/cornelyard/cornelyard/internal/bytebudget"
)

// EventReader reads server-sent events from a stream. It returns only complete
// events.
type EventReader struct {
	events *sseReader
}

// NewEventReader returns a reader for events of at most maxBytes each, including the
// comments before them. Large ones are charged to the budget until Close; a nil budget has
// no limit.
func NewEventReader(r io.Reader, maxBytes int, budget *bytebudget.Budget) *EventReader {
	return &EventReader{events: newSSEReader(r, maxBytes, budget)}
}

// Close gives the memory of the events back to the budget. It does not close the
// underlying reader.
func (e *EventReader) Close() { e.events.close() }

// Event is one server-sent event.
type Event struct {
	// Raw is the event as received, including the empty line that terminates it.
	Raw []byte
	// ID is the event's ID. It is valid if HasID is set.
	ID    uint64
	HasID bool
	// HasContent is false for comments and for lines that are no part of an event.
	HasContent bool
}

// Next returns the next event, which is valid until the next call. It returns
// io.EOF only if the stream ends at an event boundary.
func (e *EventReader) Next() (Event, error) {
	event, err := e.events.next()
	if err != nil {
		return Event{}, err
	}
	return Event{Raw: event.raw, ID: event.id, HasID: event.hasID, HasContent: event.hasContent()}, nil
}

// Buffered reports whether a complete event can be read without blocking.
func (e *EventReader) Buffered() bool {
	buffered, err := e.events.reader.Peek(e.events.reader.Buffered())
	if err != nil {
		return false
	}
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\r\n\r\n"))
}
