package cli

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/timeline"
)

const timelineExamples = `Examples:
  cornelyard timeline --request 7f0c2f5e
  cornelyard timeline --since 5m
  cornelyard timeline --since 2026-01-31T08:00:00Z --output json
  cornelyard timeline --follow
`

// followInterval is the interval between two queries for new events.
const followInterval = 500 * time.Millisecond

// timelineCommand shows the merged events of all hosts.
type timelineCommand struct {
	request string
	since   string
	follow  bool
	limit   int
}

// Register implements Command.
func (c *timelineCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("timeline", "Show the events of all hosts in one order, as text or JSON lines. Dropped events are counted, and hosts that cannot be reached are named.").HelpLong(timelineExamples)
	command.Flag("request", "Only the events of this request.").PlaceHolder("ID").StringVar(&c.request)
	command.Flag("since", "Begin at a time (RFC 3339), or so long ago (such as 5m).").PlaceHolder("TIME").StringVar(&c.since)
	command.Flag("follow", "Go on with new events until interrupted.").Short('f').BoolVar(&c.follow)
	command.Flag("page", "Events of each host that are read at once.").Default("1000").IntVar(&c.limit)
	return command
}

// Run implements Command.
func (c *timelineCommand) Run(ctx context.Context, s *Session) error {
	since, err := parseTime("--since", c.since, time.Now())
	if err != nil {
		return err
	}
	hostClient, err := s.newClient()
	if err != nil {
		return err
	}
	defer hostClient.Close()
	reader := &timelineReader{
		session:     s,
		hostClient:  hostClient,
		query:       api.TimelineQuery{Since: timestampAt(since), Request: ident.Request(c.request), Limit: c.limit},
		dropped:     make(map[ident.Host]uint64),
		unreachable: make(map[ident.Host]bool),
	}
	for {
		if err := reader.readAll(ctx); err != nil || !c.follow {
			return ignoreInterrupt(ctx, err)
		}
		if !periodic.Sleep(ctx, followInterval) {
			return nil
		}
	}
}

// ignoreInterrupt drops the error of a request that was cancelled by an interrupt.
func ignoreInterrupt(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// timestampAt returns the earliest timestamp at a time, or the zero timestamp for the zero time.
func timestampAt(at time.Time) timeline.Timestamp {
	if at.IsZero() {
		return timeline.Timestamp{}
	}
	return timeline.TimestampAt(at)
}
