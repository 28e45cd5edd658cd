package config

import "github.com/cornelyard/cornelyard/settings"

// Rollout bounds the requests that a bad version gets during its rollout.
type Rollout struct {
	// ExposureShare is the share of the requests to the pool that a bad version may get, and
	// ExposureAllowance the number of requests in addition.
	ExposureShare     float64 `json:"exposureShare"`
	ExposureAllowance float64 `json:"exposureAllowance"`
	// RollbackTime is the time from the 50th bad response of a version to the last request
	// that is sent to it.
	RollbackTime settings.Duration `json:"rollbackTime"`
}
