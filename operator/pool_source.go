package operator

import "github.com/cornelyard/cornelyard/pool"

// PoolSource tells about the pools that this host owns.
type PoolSource interface {
	Statuses() []pool.Status
}
