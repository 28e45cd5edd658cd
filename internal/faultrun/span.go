package faultrun

import (
	"time"
)

// span is a period of time.
type span struct {
	from, to time.Time
}
