package pool

import (
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/peer"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

// ClientOptions configures a Client. All fields are required.
type ClientOptions struct {
	Members  membership.Source
	Settings settings.Source
	// Hosts is the latest host list, which marks the targets that are draining.
	Hosts    HostSource
	Sender   peer.Sender
	Recorder timeline.Recorder
	Logger   *log.Logger
	// Now returns the current time.
	Now func() time.Time
}
