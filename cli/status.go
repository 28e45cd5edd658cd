package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/pool"
)

const statusExamples = `Examples:
  cornelyard status
  cornelyard status --output json
`

// statusCommand shows the status of all hosts and pools.
type statusCommand struct{}

// Register implements Command.
func (c *statusCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	return app.Command("status", "Show all hosts, the settings in force there, and the pools with their queues. Hosts that cannot be reached are named.").HelpLong(statusExamples)
}

// Run implements Command.
func (c *statusCommand) Run(ctx context.Context, s *Session) error {
	hostClient, err := s.newClient()
	if err != nil {
		return err
	}
	defer hostClient.Close()
	status, err := hostClient.Status(ctx)
	if err != nil {
		return err
	}
	if s.JSON() {
		return s.WriteJSON(status)
	}
	printHosts(s, status)
	printPools(s, status)
	reportUnreachable(s, status.Unreachable...)
	return nil
}

func printHosts(s *Session, status api.Status) {
	table := newTable(s.Stdout)
	writeRow(table, "HOST", "DATA CENTRE", "SETTINGS", "ALIVE", "MISSING", "STATE")
	for _, host := range status.Hosts {
		writeRow(table, host.Host, host.DataCentre, host.SettingsVersion, host.Alive, len(host.NotAlive), hostState(host))
	}
	_ = table.Flush()
}

func hostState(host api.HostStatus) string {
	switch {
	case host.NotReady != "":
		return "not ready: " + host.NotReady
	case host.Leaving:
		return "stopping"
	default:
		return "ready"
	}
}

func printPools(s *Session, status api.Status) {
	table := newTable(s.Stdout)
	writeRow(table, "\nPOOL", "DATA CENTRE", "OWNER", "QUEUED", "IN SERVICE", "SLOTS")
	for _, host := range status.Hosts {
		for _, p := range host.Pools {
			queued, inService, slots := poolTotals(p)
			writeRow(table, p.Pool, host.DataCentre, host.Host, queued, inService, slots)
		}
	}
	_ = table.Flush()
}

func poolTotals(p pool.Status) (queued, inService, slots int) {
	for _, tier := range p.Snapshot.Tiers {
		queued += tier.Queued
		inService += tier.RunningRequests
	}
	for _, target := range p.Snapshot.Targets {
		slots += target.Slots
	}
	return queued, inService, slots
}
