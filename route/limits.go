package route

import "time"

// Limits bounds what a caller may send. A zero value means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
