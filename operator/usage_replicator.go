package operator

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/membership"
)

// ReplicateUsage fetches the usage of the next host, in the order of their names,
// until ctx ends. So the usage of each host is kept by another one, and a host
// that dies takes along what it counted since the last fetch at most.
func (o *Operator) ReplicateUsage(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(o.options.UsageInterval):
			o.replicateNext(ctx)
		}
	}
}

func (o *Operator) replicateNext(ctx context.Context) {
	next, ok := nextAliveMember(o.options.Members.View())
	if !ok {
		return
	}
	reply, err := callHost[usageQuery, usageReply](ctx, o, next, methodUsage, usageQuery{OwnOnly: true})
	if err != nil {
		o.options.Logger.Debug().Str("host", string(next.Host)).Err(err).Msg("The usage of a host cannot be kept.")
		return
	}
	for _, report := range reply.Reports {
		o.options.Usage.Merge(report)
	}
}

// nextAliveMember returns the member after the own host, in a ring of all that are
// alive.
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
