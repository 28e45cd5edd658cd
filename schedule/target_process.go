package schedule

import "github.com/cornelyard/cornelyard/ident"

// TargetProcess is one process of a target.
type TargetProcess struct {
	Target ident.Target
	// StartUnixMs is when the process started, in Unix milliseconds.
	StartUnixMs int64
}
