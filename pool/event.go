package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

// event is one change that an owner's goroutine applies to its scheduler.
type event interface {
	apply(o *owner, now time.Time)
}

type (
	configEvent struct{ config admission.Config }

	enqueueEvent struct{ request admission.Request }

	cancelEvent struct{ id ident.Request }

	declineEvent struct{ decline admission.Decline }

	progressEvent struct{ items []admission.Progress }

	endEvent struct {
		target ident.Target
		end    admission.End
	}

	loadEvent struct{ report admission.LoadReport }

	hintEvent struct{ hint admission.PeerPool }

	// membersEvent names the live members of the data centre.
	membersEvent struct{ live []ident.Host }

	// hostLostEvent says that a host was declared dead.
	hostLostEvent struct{ host ident.Host }

	// sessionUpEvent says that frames may have been lost before.
	sessionUpEvent struct{ host ident.Host }

	strikeEvent struct{ strikes []admission.StrikeRecord }

	// reportEvent is all that an entry has in the pool.
	reportEvent struct {
		from      ident.Host
		epoch     uint64
		queued    []admission.Request
		inService []admission.InService
	}
)

func (e configEvent) apply(o *owner, now time.Time) {
	o.recordLeaving(e.config)
	o.configure(now, e.config)
}

func (e enqueueEvent) apply(o *owner, now time.Time) {
	if e.request.Forwarded {
		o.noteForwarder(now, e.request.Entry)
	}
	o.scheduler.Enqueue(now, e.request)
	o.recordQueued(&e.request)
}

func (e cancelEvent) apply(o *owner, now time.Time) { o.scheduler.Cancel(now, e.id) }

func (e declineEvent) apply(o *owner, now time.Time) {
	o.recordReturn(e.decline)
	o.metrics.declined(e.decline.Cause)
	o.scheduler.Decline(now, e.decline)
}

func (e progressEvent) apply(o *owner, now time.Time) {
	for _, p := range e.items {
		o.scheduler.Progress(now, p)
	}
}

func (e endEvent) apply(o *owner, now time.Time) {
	o.recordEnd(e.target, e.end)
	o.scheduler.End(now, e.end)
}

func (e loadEvent) apply(o *owner, now time.Time) { o.scheduler.Load(now, e.report) }

func (e hintEvent) apply(o *owner, now time.Time) { o.scheduler.Peer(now, e.hint) }

func (e membersEvent) apply(o *owner, now time.Time) { o.recovery.keep(e.live) }

func (e hostLostEvent) apply(o *owner, now time.Time) {
	o.recovery.heard(e.host)
	o.recordEntryLost(e.host)
	o.scheduler.EntryLost(now, e.host)
}

func (e sessionUpEvent) apply(o *owner, _ time.Time) { o.askReport(e.host) }

func (e strikeEvent) apply(o *owner, now time.Time) {
	for _, s := range e.strikes {
		o.scheduler.Strike(now, s.Digest, s.Count, s.Expiry)
	}
}

func (e reportEvent) apply(o *owner, now time.Time) {
	for i := range e.queued {
		o.recordQueued(&e.queued[i])
	}
	o.record(timeline.Event{Kind: timeline.EntryReported, Peer: e.from})
	o.scheduler.EntryReported(now, e.from, e.queued, e.inService)
	if e.epoch == o.epoch {
		o.recovery.heard(e.from)
	}
}
