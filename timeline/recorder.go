package timeline

// Recorder accepts events. Record never blocks; it sets Time, Host and Sequence.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that drops all events.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
