package route

import "github.com/cornelyard/cornelyard/ident"

// WeightedPool is a pool that serves a share of a route's requests.
type WeightedPool struct {
	Pool ident.Pool
	// Weight is relative to the weights of the route's other pools.
	Weight float64
}
