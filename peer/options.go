package peer

import (
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/timeline"
)

// Options configures a Mesh.
type Options struct {
	// Listen is the address to listen on, as IP:port.
	Listen string
	// Keys are the peer keys. The certificate of the first is presented; peers may use
	// any of them.
	Keys []Key
	// Seeds are peer addresses that are dialled while no member has them.
	Seeds []string
	// Members provides this host's own entry and the addresses of the others.
	Members membership.Source
	// Clock is the process's hybrid logical clock.
	Clock *timeline.Clock
	// Logger and Scope may be nil.
	Logger *log.Logger
	Scope  tally.Scope
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = timeline.NewClock()
	}
	if o.Logger == nil {
		o.Logger = logging.Discard().For("peer")
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}
