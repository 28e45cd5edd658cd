package operator

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/timeline"
)

// mergeTimelines merges the events of all hosts. If a host's events were limited,
// those of the others are returned only up to the same time, so that pages are
// in order.
func mergeTimelines(query api.TimelineQuery, replies *hostReplies[timelineReply]) api.Timeline {
	horizon, limited := completeUntil(replies)
	merged := api.Timeline{More: limited, Unreachable: replies.unreachable}
	var eventsByHost [][]timeline.Event
	for _, a := range replies.replies {
		events := a.reply.Events
		if limited {
			events = eventsUntil(events, horizon)
		}
		eventsByHost = append(eventsByHost, events)
		merged.Cursors = append(merged.Cursors, cursorAfter(query, a.host, events))
		if a.reply.Dropped > 0 {
			merged.Drops = append(merged.Drops, api.DropCount{Host: a.host, Dropped: a.reply.Dropped})
		}
	}
	merged.Cursors = append(merged.Cursors, cursorsOfUnreachable(query, replies.unreachable)...)
	merged.Events = timeline.Merge(eventsByHost...)
	return merged
}

// completeUntil returns the time up to which the events of all hosts are complete:
// the earliest end of the replies that were limited. A reply without events has no end:
// the position on its host stays as it is.
func completeUntil(replies *hostReplies[timelineReply]) (horizon timeline.Timestamp, limited bool) {
	for _, a := range replies.replies {
		if !a.reply.LimitReached || len(a.reply.Events) == 0 {
			continue
		}
		last := a.reply.Events[len(a.reply.Events)-1].Time
		if !limited || last.Before(horizon) {
			horizon = last
		}
		limited = true
	}
	return horizon, limited
}

func eventsUntil(events []timeline.Event, horizon timeline.Timestamp) []timeline.Event {
	for i, e := range events {
		if horizon.Before(e.Time) {
			return events[:i]
		}
	}
	return events
}

func cursorAfter(query api.TimelineQuery, host ident.Host, events []timeline.Event) api.Cursor {
	cursor := api.Cursor{Host: host, Since: query.SinceOn(host)}
	if len(events) > 0 {
		cursor.Since = events[len(events)-1].Time
	}
	return cursor
}

// cursorsOfUnreachable keeps the positions of hosts that may become reachable
// again.
func cursorsOfUnreachable(query api.TimelineQuery, missing []api.Unreachable) []api.Cursor {
	var cursors []api.Cursor
	for _, host := range missing {
		cursors = append(cursors, api.Cursor{Host: host.Host, Since: query.SinceOn(host.Host)})
	}
	return cursors
}
