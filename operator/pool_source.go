package operator

import "github.com/cornelyard/cornelyard/pool"

// PoolSource returns the status of the pools that this host owns.
type PoolSource interface {
	Statuses() []pool.Status
}
