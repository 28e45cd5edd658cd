package usage

import "github.com/cornelyard/cornelyard/ident"

// Key identifies one row. Target is empty for events before a target was selected.
type Key struct {
	Team   ident.Team   `json:"team"`
	Tier   ident.Tier   `json:"tier"`
	Pool   ident.Pool   `json:"pool"`
	Target ident.Target `json:"target,omitempty"`
}
