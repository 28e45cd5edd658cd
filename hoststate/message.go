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
	// AggregateOf is the data centre whose hosts' states are added up here, and SumHosts
	// their number. It is empty if the message is the sender's own state.
	AggregateOf    ident.DataCentre
	AggregatedHosts int
	Schedule schedule.State
	// TeamUsage is what the host tells of each team's use.
	TeamUsage map[ident.Team]quota.Use
}
