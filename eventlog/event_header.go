package eventlog

import "time"

// EventHeader holds the fields of a line that say when, where and of what it is.
type EventHeader struct {
	At    time.Time `json:"time"`
	Host  string    `json:"host"`
	Event string    `json:"event"`
}
