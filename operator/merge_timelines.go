package operator

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/timeline"
)

// mergeTimelines merges the events of all hosts. If a host's events were limited,
// those of the others are returned only up to the same time, so that pages are
// in order.
func mergeTimelines(query api.TimelineQuery, all *hostReplies[timelineReply]) api.Timeline {
	horizon, cut := completeUntil(all)
	merged := api.Timeline{More: cut, Unreachable: all.unreachable}
	var rings [][]timeline.Event
	for _, a := range all.replies {
		events := a.reply.Events
		if cut {
			events = eventsUntil(events, horizon)
		}
		rings = append(rings, events)
		merged.Cursors = append(merged.Cursors, cursorAfter(query, a.host, events))
		if a.reply.Dropped > 0 {
			merged.Drops = append(merged.Drops, api.DropCount{Host: a.host, Dropped: a.reply.Dropped})
		}
	}
	merged.Cursors = append(merged.Cursors, cursorsOfUnreachable(query, all.unreachable)...)
	merged.Events = timeline.Merge(rings...)
	return merged
}

// completeUntil returns the time up to which the events of all hosts are complete:
// the earliest end of the replies that were limited.
func completeUntil(all *hostReplies[timelineReply]) (horizon timeline.Timestamp, cut bool) {
	for _, a := range all.replies {
		if !a.reply.Full {
			continue
		}
		last := a.reply.Events[len(a.reply.Events)-1].Time
		if !cut || last.Before(horizon) {
			horizon = last
		}
		cut = true
	}
	return horizon, cut
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
