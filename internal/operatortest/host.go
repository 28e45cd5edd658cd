package operatortest

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

// Host is the operators' side of one host.
type Host struct {
	Name ident.Host
	// Address is where its operator listener is, as IP:port.
	Address  string
	Settings *settings.Watcher
	Store    *settings.Store
	Timeline *timeline.Ring
	Usage    *usage.Aggregator
	Operator *operator.Operator

	members *members
	// freeze stops its settings watcher.
	stopSettings func()
}
