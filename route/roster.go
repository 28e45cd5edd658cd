package route

import "github.com/cornelyard/cornelyard/ident"

// Roster is one state of the list of targets.
type Roster struct {
	Targets map[ident.Target]Target
}
