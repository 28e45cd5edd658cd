package route

import "github.com/cornelyard/cornelyard/ident"

// WeightedPool is the part of a route's requests that one pool serves.
type WeightedPool struct {
	Pool ident.Pool
	// Weight is relative to the other shares of the route.
	Weight float64
}
