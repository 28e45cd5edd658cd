package pool

import (
	"strings"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

func (o *owner) record(e timeline.Event) {
	e.Pool = o.key.pool
	o.options.Recorder.Record(e)
}

func (o *owner) recordRequest(kind timeline.Kind, r *admission.Request, target ident.Target, detail string) {
	o.record(timeline.Event{
		Kind:    kind,
		Request: r.ID,
		Team:    r.Team,
		Tier:    r.Tier,
		Target:  target,
		Peer:    r.Entry,
		Detail:  detail,
	})
}

func (o *owner) recordQueued(r *admission.Request) {
	o.recordRequest(timeline.Queued, r, "", "")
}

func (o *owner) recordEnd(e admission.End) {
	o.record(timeline.Event{
		Kind:    timeline.Ended,
		Request: e.ID,
		Detail:  strings.TrimSpace(string(e.Outcome) + " " + string(e.Reason)),
	})
}

func (o *owner) recordReturn(d admission.Decline) {
	o.record(timeline.Event{
		Kind:    timeline.GrantReturned,
		Request: d.ID,
		Target:  d.Target,
		Detail:  string(d.Cause),
	})
}

func (o *owner) recordEntryLost(host ident.Host) {
	o.record(timeline.Event{Kind: timeline.EntryLost, Peer: host})
}
