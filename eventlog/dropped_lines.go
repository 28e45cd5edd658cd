package eventlog

import "encoding/json"

// DroppedLines is a line with the event EventLinesDropped.
type DroppedLines struct {
	EventHeader
	Lines int64 `json:"dropped"`
	// Requests is the number of requests that these lines were about, or zero if the line
	// doesn't say it.
	Requests int64 `json:"requests"`
}

// ParseDroppedLines parses a line with the event EventLinesDropped.
func ParseDroppedLines(object []byte) (DroppedLines, error) {
	var d DroppedLines
	if err := json.Unmarshal(object, &d); err != nil {
		return d, Error.Wrap(err)
	}
	if d.At.IsZero() {
		return d, Error.Wrap(errNoTime)
	}
	return d, nil
}
