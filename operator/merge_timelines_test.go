package operator

import (
	"reflect"
	"testing"

	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/timeline"
)

func TestTimelineSurvivesLimitedReplyWithoutEvents(t *testing.T) {
	since := timeline.Timestamp{Wall: 1}
	event := timeline.Event{Host: "far-1", Sequence: 1, Time: timeline.Timestamp{Wall: 2}}
	replies := &hostReplies[timelineReply]{}
	replies.add("far-1", timelineReply{Events: []timeline.Event{event}})
	replies.add("near-1", timelineReply{LimitReached: true})

	merged := mergeTimelines(api.TimelineQuery{Since: since}, replies)

	if !reflect.DeepEqual(merged.Events, []timeline.Event{event}) {
		t.Errorf("events %+v, want the one of the other host", merged.Events)
	}
	if merged.More {
		t.Error("more events are promised, although the next page would be the same")
	}
	cursors := []api.Cursor{{Host: "far-1", Since: event.Time}, {Host: "near-1", Since: since}}
	if !reflect.DeepEqual(merged.Cursors, cursors) {
		t.Errorf("cursors %+v, want %+v", merged.Cursors, cursors)
	}
}
