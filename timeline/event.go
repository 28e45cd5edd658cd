package timeline

import (
	"github.com/cornelyard/cornelyard/ident"
)

// Event is one entry of the time line.
type Event struct {
	// Time is the hybrid logical clock's reading when the event was recorded.
	Time Timestamp  `json:"time"`
	Host ident.Host `json:"host"`
	// Sequence numbers the events of one process from 1; a gap means that events
	// were dropped.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`

	Request  ident.Request  `json:"request,omitempty"`
	Dispatch ident.Dispatch `json:"dispatch,omitempty"`
	Team     ident.Team     `json:"team,omitempty"`
	Tier     ident.Tier     `json:"tier,omitempty"`
	Pool     ident.Pool     `json:"pool,omitempty"`
	Target   ident.Target   `json:"target,omitempty"`
	// Peer is the other host that the event is about.
	Peer ident.Host `json:"peer,omitempty"`
	// Version is the settings version that the event is about.
	Version uint64 `json:"version,omitempty"`
	// Detail is one short phrase. It never contains a prompt, a response or a
	// token.
	Detail string `json:"detail,omitempty"`
}
