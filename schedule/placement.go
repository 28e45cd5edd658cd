package schedule

import "github.com/cornelyard/cornelyard/ident"

// Placement says that a target computed a part of a prompt.
type Placement struct {
	Hash   uint64
	Target ident.Target
}
