package faultproxy

// Source is a named client process. Faults can be limited to its connections.
type Source struct {
	Name string `json:"name"`
	PID  int    `json:"pid"`
}
