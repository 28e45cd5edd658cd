package service

import "time"

// Options configures a Service.
type Options struct {
	// Delay is how long each call takes.
	Delay time.Duration
	// Crash is called when a fault crashes the service. It must end the process
	// or close everything that the service serves.
	Crash func()
}
