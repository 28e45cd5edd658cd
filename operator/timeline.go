package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
)

// maxEvents bounds the events of one host in one reply.
const maxEvents = 5000

func (o *Operator) timeline(c echo.Context, principal settings.Principal) error {
	var query api.TimelineQuery
	if err := readBody(c, &query); err != nil {
		return err
	}
	if query.Limit <= 0 || query.Limit > maxEvents {
		query.Limit = maxEvents
	}
	request := func(host ident.Host) timelineQuery {
		return timelineQuery{Since: query.SinceOn(host), Request: query.Request, Limit: query.Limit}
	}
	replies := queryAllHosts(c.Request().Context(), o, methodTimeline, request, o.localTimeline)
	merged := mergeTimelines(query, replies)
	merged.Events = visibleEvents(principal, merged.Events)
	return c.JSON(http.StatusOK, merged)
}

func (o *Operator) localTimeline(query timelineQuery) timelineReply {
	limit := min(max(query.Limit, 1), maxEvents)
	events := o.options.Timeline.Events(query.Since, query.Request, limit)
	return timelineReply{
		Events:       events,
		Dropped:      o.options.Timeline.Dropped(),
		LimitReached: len(events) == limit,
	}
}
