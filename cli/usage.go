package cli

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/usage"
)

const usageExamples = `Examples:
  cornelyard usage
  cornelyard usage --team press --pool drafting
  cornelyard usage --output json
`

// usageCommand shows the usage by team.
type usageCommand struct {
	team string
	pool string
}

// Register implements Command.
func (c *usageCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("usage", "Show what each team used of each pool and target, summed over all hosts since their start.").HelpLong(usageExamples)
	command.Flag("team", "Only this team.").PlaceHolder("TEAM").StringVar(&c.team)
	command.Flag("pool", "Only this pool.").PlaceHolder("POOL").StringVar(&c.pool)
	return command
}

// Run implements Command.
func (c *usageCommand) Run(ctx context.Context, s *Session) error {
	hostClient, err := s.newClient()
	if err != nil {
		return err
	}
	defer hostClient.Close()
	used, err := hostClient.Usage(ctx)
	if err != nil {
		return err
	}
	used.Rows = slices.DeleteFunc(used.Rows, func(r usage.Row) bool { return !c.matches(r) })
	if s.JSON() {
		return s.WriteJSON(used)
	}
	printUsage(s, used)
	return nil
}

func (c *usageCommand) matches(r usage.Row) bool {
	return (c.team == "" || r.Team == ident.Team(c.team)) && (c.pool == "" || r.Pool == ident.Pool(c.pool))
}

func printUsage(s *Session, used api.Usage) {
	table := newTable(s.Stdout)
	writeRow(table, "TEAM", "TIER", "POOL", "TARGET", "QUEUED", "SERVED", "GOOD", "SHED", "INFEASIBLE", "PREEMPTED", "REFUSED", "FAILED", "TOKENS", "TOKEN-SECONDS", "WASTED PREFILL")
	for _, r := range used.Rows {
		target := cmp.Or(r.Target, noValue)
		writeRow(table, r.Team, r.Tier, r.Pool, target, r.Queued, r.Served, r.ServedInTime, r.Shed, r.Infeasible, r.Preempted, r.Refused, r.Failed, r.Tokens, int64(r.TokenSeconds), r.WastedPrefill)
	}
	_ = table.Flush()
	for _, host := range used.Unreachable {
		s.PrintErrf("%s\n", describeMissingUsage(host, used.Sources))
	}
}

// describeMissingUsage describes which usage of an unreachable host the sums lack.
func describeMissingUsage(host api.Unreachable, sources []usage.Source) string {
	for _, source := range slices.Backward(sources) {
		if source.Host == host.Host {
			return "not reached: " + string(host.Host) + ": counted until " + source.At.UTC().Format(time.RFC3339) + "; what came later is missing"
		}
	}
	return "not reached: " + string(host.Host) + ": nothing of it is counted"
}
