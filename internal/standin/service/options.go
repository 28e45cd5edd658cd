package service

import (
	"time"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// Options configures a Service.
type Options struct {
	// Delay is how long each call takes.
	Delay time.Duration
	// Crash is called when a fault crashes the service. It must end the process
	// or close everything that the service serves.
	Crash func()
	// Journal, if set, records the ID of each call that is accepted for execution.
	Journal *standin.Journal
}
