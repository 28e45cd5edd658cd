package hoststate

import "github.com/cornelyard/cornelyard/ident"

// Member is one host that takes part in the exchange.
type Member struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// Address is where it receives datagrams, as IP:port.
	Address string
}
