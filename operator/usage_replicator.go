package operator

import (
	"context"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/membership"
)

// ReplicateUsage periodically fetches the usage of the next host by name, until
// ctx ends. Each host's usage is thus replicated on another host, and the failure
// of a host loses at most what it counted since the last fetch.
func (o *Operator) ReplicateUsage(ctx context.Context) error {
	for periodic.Sleep(ctx, o.options.UsageInterval) {
		o.replicateNext(ctx)
	}
	return nil
}

func (o *Operator) replicateNext(ctx context.Context) {
	next, ok := nextAliveMember(o.options.Members.View())
	if !ok {
		return
	}
	reply, err := callHost[usageQuery, usageReply](ctx, o, next, methodUsage, usageQuery{OwnOnly: true})
	if err != nil {
		o.options.Logger.Debug().Str("host", string(next.Host)).Err(err).Msg("Fetching the usage of a host failed; its last report is kept and the fetch is retried at the next interval.")
		return
	}
	for _, report := range reply.Reports {
		o.options.Usage.Merge(report)
	}
}

// nextAliveMember returns the alive member that follows this host by name,
// wrapping around after the last.
func nextAliveMember(view *membership.View) (membership.Member, bool) {
	var first, next membership.Member
	for _, member := range view.Members {
		if member.Host == view.Self.Host || member.State != membership.Alive {
			continue
		}
		if first.Host == "" {
			first = member
		}
		if next.Host == "" && member.Host > view.Self.Host {
			next = member
		}
	}
	if next.Host == "" {
		next = first
	}
	return next, next.Host != ""
}
