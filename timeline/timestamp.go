package timeline

import "time"

// Timestamp is a reading of a hybrid logical clock: wall time, and a counter
// that orders readings with the same wall time and after received timestamps
// (Kulkarni et al., "Logical Physical Clocks", 2014).
type Timestamp struct {
	// Wall is Unix time in nanoseconds.
	Wall int64 `json:"wall"`
	// Logical orders timestamps with the same wall time.
	Logical uint32 `json:"logical,omitempty"`
}

// TimestampAt returns the earliest timestamp with the wall time t.
func TimestampAt(t time.Time) Timestamp {
	return Timestamp{Wall: t.UnixNano()}
}

// Before reports whether t is earlier than u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Logical < u.Logical
}

// Time returns the wall part.
func (t Timestamp) Time() time.Time {
	return time.Unix(0, t.Wall)
}
