package route

import "github.com/cornelyard/cornelyard/ident"

// TargetSnapshot is the list of targets at one time.
type TargetSnapshot struct {
	Targets map[ident.Target]Target
}
