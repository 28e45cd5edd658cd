package eventlog

import "bytes"

// Mentions reports whether a line has the name of an event as a value, so that it may be about
// that event. It is much faster than parsing the line.
func Mentions(object []byte, event string) bool {
	return bytes.Contains(object, []byte(`"`+event+`"`))
}
