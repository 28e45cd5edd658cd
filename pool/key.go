package pool

import "github.com/cornelyard/cornelyard/ident"

// key names the part of a pool that one data centre schedules.
type key struct {
	dataCentre ident.DataCentre
	pool       ident.Pool
}
