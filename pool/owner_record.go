package pool

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
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

func (o *owner) recordEnd(target ident.Target, e admission.End) {
	if e.TargetCrashed {
		o.record(timeline.Event{Kind: timeline.TargetFailed, Request: e.ID, Target: target})
	}
	if e.TargetDraining {
		o.record(timeline.Event{Kind: timeline.TargetLeaving, Target: target, Detail: "refuses new work"})
	}
	o.record(timeline.Event{
		Kind:    timeline.Ended,
		Request: e.ID,
		Target:  target,
		Detail:  strings.TrimSpace(string(e.Outcome) + " " + string(e.Reason)),
	})
}

func (o *owner) recordDecline(d admission.Decline) {
	o.record(timeline.Event{
		Kind:    timeline.GrantReturned,
		Request: d.ID,
		Target:  d.Target,
		Detail:  string(d.Cause),
	})
}

// recordDraining records the targets that are draining in the next configuration
// but not in the current one.
func (o *owner) recordDraining(next admission.Config) {
	before := make(map[ident.Target]bool)
	for _, target := range o.config.Targets {
		before[target.Name] = target.Leaving
	}
	for _, target := range next.Targets {
		if target.Leaving && !before[target.Name] {
			o.record(timeline.Event{Kind: timeline.TargetLeaving, Target: target.Name, Detail: "listed or declared"})
		}
	}
}

// recordStrikes records the digests that have more strikes than in the last call.
func (o *owner) recordStrikes(now time.Time) {
	counts := make(map[quarantine.Digest]int)
	quarantined := o.crashes.Quarantined(now)
	for _, digest := range o.crashes.Suspects(now) {
		count, _ := o.crashes.Strikes(now, digest)
		counts[digest] = count
		if count <= o.recordedStrikes[digest] {
			continue
		}
		detail := fmt.Sprintf("digest %s, %d in all", digest, count)
		o.record(timeline.Event{Kind: timeline.StrikeRecorded, Detail: detail})
		if slices.Contains(quarantined, digest) {
			o.record(timeline.Event{Kind: timeline.Quarantine, Detail: detail})
		}
	}
	o.recordedStrikes = counts
}

func (o *owner) recordEntryLost(host ident.Host) {
	o.record(timeline.Event{Kind: timeline.EntryLost, Peer: host})
}
