package streamversion

import "github.com/cornelyard/cornelyard/ident"

// Origin is where a stream began.
type Origin struct {
	Pool ident.Pool
	// Version is the software version of the target.
	Version string
	// Unsure says that the target may have been of another version.
	Unsure bool
	// Assumed says that no record names the stream: it is concluded from the list of targets that the
	// pool has had one version only. That holds up to the moment as of which the list is known.
	Assumed bool
}
