package route

import "github.com/cornelyard/cornelyard/ident"

// Target is one replica as it announced itself.
type Target struct {
	// Name changes with most restarts of the replica.
	Name       ident.Target
	Pool       ident.Pool
	Address    string
	DataCentre ident.DataCentre
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining says that it takes no new work.
	Draining bool
	// StartUnixMs is the start of the replica's process in Unix milliseconds, or zero.
	StartUnixMs int64
}
