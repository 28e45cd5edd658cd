package operatortest

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

// Host contains the components of one host that operators use.
type Host struct {
	Name ident.Host
	// Address is the address of the operator listener, as IP:port.
	Address  string
	Settings *settings.Watcher
	Store    *settings.Store
	Timeline *timeline.Ring
	Usage    *usage.Aggregator
	Operator *operator.Operator

	members *members
	// stopSettings stops the settings watcher.
	stopSettings func()
}
