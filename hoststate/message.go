package hoststate

import (
	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/streamversion"
)

// Message is the state of one host, or the aggregate of the hosts of a data centre.
type Message struct {
	Host ident.Host
	// Incarnation distinguishes a restarted process from its predecessor. The Exchange
	// sets it.
	Incarnation uint64
	// TableVersion is the version of the routing table in force on the host.
	TableVersion uint64
	// Tables says what the host holds of the tables of the store, or is nil if it says nothing new.
	Tables []freshness.Statement
	// AggregateOf is the data centre whose hosts' states are aggregated in the
	// message, and AggregatedHosts is their number. AggregateOf is empty if the
	// message holds the sender's own state.
	AggregateOf     ident.DataCentre
	AggregatedHosts int
	Schedule        schedule.State
	// TeamUsage is the quota usage that the host reports for each team.
	TeamUsage map[ident.Team]quota.Usage
	// Streams says where streams began. It is empty in an aggregate.
	Streams streamversion.Report
	// Rollouts holds what is known of rollouts that are in progress, or ended a short time ago.
	Rollouts []Rollout
}
