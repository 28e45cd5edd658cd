package faultproxy

import (
	"time"
)

// chunk is the result of one read and the time at which it may be forwarded.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}
