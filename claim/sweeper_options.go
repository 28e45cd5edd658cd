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
	// Retention is the age at which a claim and its kept answer are removed. The
	// key may then be used anew.
	Retention time.Duration
	// Enabled reports whether this host sweeps for all.
	Enabled func() bool
	Logger  *log.Logger
	// Now reads the clock.
	Now func() time.Time
}
