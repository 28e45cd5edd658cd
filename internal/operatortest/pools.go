package operatortest

import "github.com/cornelyard/cornelyard/pool"

// pools is what a host says about the pools that it owns.
type pools []pool.Status

// Statuses implements operator.PoolSource.
func (p pools) Statuses() []pool.Status { return append([]pool.Status(nil), p...) }
