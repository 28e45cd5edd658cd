package route

import "time"

// Limits bounds what a caller may send. Zero values mean no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
