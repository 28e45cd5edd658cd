package eventlog

import (
	"encoding/json"
	"time"
)

// EventHeader holds the fields of a line that tell what it is about.
type EventHeader struct {
	At    time.Time `json:"time"`
	Host  string    `json:"host"`
	Event string    `json:"event"`
}

// ParseEventHeader parses the header of a line. A line without a time is no log line.
func ParseEventHeader(object []byte) (EventHeader, error) {
	var h EventHeader
	if err := json.Unmarshal(object, &h); err != nil {
		return h, Error.Wrap(err)
	}
	if h.At.IsZero() {
		return h, Error.New("the line has no time")
	}
	return h, nil
}
