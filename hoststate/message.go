package hoststate

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/schedule"
)

// Message is what one host tells the others.
type Message struct {
	Host ident.Host
	// Incarnation tells a restarted process from its predecessor; it is set by the
	// exchange.
	Incarnation uint64
	// TableVersion is the version of the routing configuration in force there.
	TableVersion uint64
	// SumOf is the data centre whose hosts' states are added up here, and SumHosts
	// their number. It is empty if the message is the sender's own state.
	SumOf    ident.DataCentre
	SumHosts int
	Schedule schedule.State
	// Uses is what the host tells of each team's use.
	Uses map[ident.Team]quota.Usage
}
