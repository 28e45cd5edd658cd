package cli

import (
	"context"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
	"github.com/cornelyard/cornelyard/timeline"
)

// timelineReader reads and prints pages of events.
type timelineReader struct {
	session    *Session
	hostClient *client.Client
	query      api.TimelineQuery
	// dropped and unreachable hold what was already reported by host.
	dropped     map[ident.Host]uint64
	unreachable map[ident.Host]bool
}

// readAll prints all events available now.
func (r *timelineReader) readAll(ctx context.Context) error {
	for {
		page, err := r.hostClient.Timeline(ctx, r.query)
		if err != nil {
			return err
		}
		r.query.Cursors = page.Cursors
		if err := r.print(page); err != nil || !page.More {
			return err
		}
	}
}

func (r *timelineReader) print(page api.Timeline) error {
	write := timeline.WriteText
	if r.session.JSON() {
		write = timeline.WriteJSONLines
	}
	if err := write(r.session.Stdout, page.Events); err != nil {
		return Error.Wrap(err)
	}
	r.reportMissing(page)
	return nil
}

// reportMissing prints dropped events and unreachable hosts. Each drop count is
// printed once, and so is each unreachable host.
func (r *timelineReader) reportMissing(page api.Timeline) {
	for _, d := range page.Drops {
		if r.dropped[d.Host] != d.Dropped {
			r.session.PrintErrf("dropped by %s: %d events\n", d.Host, d.Dropped)
		}
		r.dropped[d.Host] = d.Dropped
	}
	for _, host := range page.Unreachable {
		if !r.unreachable[host.Host] {
			reportUnreachable(r.session, host)
		}
		r.unreachable[host.Host] = true
	}
}
