package pool

import "github.com/cornelyard/cornelyard/ident"

// key identifies a pool in one data centre.
type key struct {
	dataCentre ident.DataCentre
	pool       ident.Pool
}
