package route

import "github.com/cornelyard/cornelyard/ident"

// Target is one target process as described by its own registration.
type Target struct {
	// Name changes with most restarts of the process.
	Name       ident.Target
	Pool       ident.Pool
	Address    string
	DataCentre ident.DataCentre
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining is set if the target accepts no new requests.
	Draining bool
	// StartUnixMs is when the process started in Unix milliseconds, or zero
	// if unknown.
	StartUnixMs int64
	// Version is the version of the target's software, not of the weights that it serves.
	// It is empty if the target states none.
	Version string
}
