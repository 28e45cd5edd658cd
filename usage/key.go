package usage

import "github.com/cornelyard/cornelyard/ident"

// Key names one row. Target is empty for what happened before a target was
// chosen.
type Key struct {
	Team   ident.Team   `json:"team"`
	Tier   ident.Tier   `json:"tier"`
	Pool   ident.Pool   `json:"pool"`
	Target ident.Target `json:"target,omitempty"`
}
