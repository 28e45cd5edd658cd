package claim

import (
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/storage"
)

// SweeperOptions configures a Sweeper. All fields are required.
type SweeperOptions struct {
	Table   storage.Table
	Objects storage.Objects
	// Retention is the age at which a claim and its stored response are deleted. The key
	// can then be used for a new request.
	Retention time.Duration
	// Enabled reports whether this host sweeps. One host sweeps for all hosts.
	Enabled func() bool
	Logger  *log.Logger
	// Now returns the current time.
	Now func() time.Time
}
