package testbed

import (
	"github.com/cornelyard/cornelyard/ident"
)

// HostSpec configures a host.
type HostSpec struct {
	Name       ident.Host
	DataCentre ident.DataCentre
}
