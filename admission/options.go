package admission

import "github.com/cornelyard/cornelyard/ident"

// Options names the pool that a Scheduler decides for.
type Options struct {
	DataCentre ident.DataCentre
	Pool       ident.Pool
}
