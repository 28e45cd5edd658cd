package hoststate

import "github.com/cornelyard/cornelyard/ident"

// Member is a host that sends and receives state.
type Member struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// Address is the IP:port at which the host receives datagrams, and over TCP the requests
	// that others pass on.
	Address string
	// Key proves that a host which passes requests on has read this host's registration. It
	// is empty if the host takes none.
	Key string
}
