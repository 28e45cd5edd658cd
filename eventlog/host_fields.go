package eventlog

import "github.com/cornelyard/cornelyard/ident"

// HostFields describes the host in the lines about requests.
type HostFields struct {
	DataCentre ident.DataCentre
	// Class is that of config.Gateway.HostClass.
	Class string
}
