package timeline

import "github.com/cornelyard/cornelyard/ident"

// RingOptions configures a Ring.
type RingOptions struct {
	Host  ident.Host
	Clock *Clock
	// Capacity is the number of events kept; zero means DefaultCapacity.
	Capacity int
}
