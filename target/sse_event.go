package target

// doneData is the data of the frame that ends an engine's stream.
const doneData = "[DONE]"

// frame is one server-sent event.
type sseEvent struct {
	// raw is the event as received, with the empty line that ends it.
	raw []byte
	// data is the content of its data lines, or empty.
	data []byte
	// number is the event's id; numbered says that it has one.
	id    uint64
	hasID bool
}

func (e *sseEvent) isDone() bool { return string(e.data) == doneData }
