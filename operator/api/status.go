package api

// Status is the status of all hosts, sorted by name.
type Status struct {
	Hosts       []HostStatus  `json:"hosts"`
	Unreachable []Unreachable `json:"unreachable,omitempty"`
}
