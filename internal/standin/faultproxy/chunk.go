package faultproxy

import (
	"time"
)

// piece is what one read returned, and when it may go on.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}
