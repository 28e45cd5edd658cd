package route

import "github.com/cornelyard/cornelyard/ident"

// TargetSnapshot is one state of the list of targets.
type TargetSnapshot struct {
	Targets map[ident.Target]Target
}
