package route

import "github.com/cornelyard/cornelyard/ident"

// Share is the part of a route's requests that one pool serves.
type Share struct {
	Pool ident.Pool
	// Weight is relative to the other shares of the route.
	Weight float64
}
