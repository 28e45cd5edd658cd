package policy

import "github.com/cornelyard/cornelyard/ident"

// poolShape is one pool of a deployment.
type poolShape struct {
	name ident.Pool
	// engines is the number of engines in each data centre.
	engines int
}
