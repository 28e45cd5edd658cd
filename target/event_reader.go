package target

import (
	"bytes"
	"io"
)

// EventReader reads a stream of server-sent events, whole events only.
type EventReader struct {
	events *sseReader
}

// NewEventReader returns a reader of events of at most maxBytes each.
func NewEventReader(r io.Reader, maxBytes int) *EventReader {
	return &EventReader{events: newSSEReader(r, maxBytes)}
}

// Event is one server-sent event.
type Event struct {
	// Raw is the event as received, with the empty line that ends it.
	Raw []byte
	// ID is the event's id, if HasID says that it has one.
	ID    uint64
	HasID bool
}

// Next returns the next event, which is valid until the next call. It returns
// io.EOF only if the stream ends between two events.
func (e *EventReader) Next() (Event, error) {
	event, err := e.events.next()
	if err != nil {
		return Event{}, err
	}
	return Event{Raw: event.raw, ID: event.id, HasID: event.hasID}, nil
}

// Buffered says that the next event has arrived already.
func (e *EventReader) Buffered() bool {
	buffered, err := e.events.reader.Peek(e.events.reader.Buffered())
	if err != nil {
		return false
	}
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\r\n\r\n"))
}
