package streamversion

import "github.com/cornelyard/cornelyard/ident"

// Origin is where a stream began.
type Origin struct {
	Pool ident.Pool
	// Version is the software version of the target.
	Version string
	// Unsure says that the target may have been of another version.
	Unsure bool
}
