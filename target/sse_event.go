package target

// doneData is the data of the event that terminates an engine's stream.
const doneData = "[DONE]"

// sseEvent is one server-sent event.
type sseEvent struct {
	// raw is the event as received, including the empty line that terminates it.
	raw []byte
	// data is the content of the data lines.
	data []byte
	// id is the event's ID. It is valid if hasID is set.
	id    uint64
	hasID bool
}

func (e *sseEvent) isDone() bool { return string(e.data) == doneData }

// hasContent is false for comments and for lines that are no part of an event.
func (e *sseEvent) hasContent() bool { return len(e.data) > 0 || e.hasID }
