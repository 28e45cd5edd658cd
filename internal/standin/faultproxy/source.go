package faultproxy

// Source names a process, so that its connections can be told from those of
// others over the same link.
type Source struct {
	Name string `json:"name"`
	PID  int    `json:"pid"`
}
