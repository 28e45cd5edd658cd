package testbed

import (
	"github.com/cornelyard/cornelyard/ident"
)

// HostSpec describes one host.
type HostSpec struct {
	Name       ident.Host
	DataCentre ident.DataCentre
}
