package hoststate

import "github.com/cornelyard/cornelyard/ident"

// Member is a host that sends and receives state.
type Member struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// Address is the IP:port at which the host receives datagrams.
	Address string
}
