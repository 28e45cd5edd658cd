package operatortest

import "github.com/cornelyard/cornelyard/pool"

// pools holds the status of the pools that a host owns.
type pools []pool.Status

// Statuses implements operator.PoolSource.
func (p pools) Statuses() []pool.Status { return append([]pool.Status(nil), p...) }
