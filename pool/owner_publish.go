package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/quarantine"
)

// publish sends the pool's owners in other data centres a load hint and the known
// crashes of targets. A data centre that forwards
// requests here gets hints more often, since it counts each forwarded request
// against the last hint.
func (o *owner) publish(now time.Time) {
	if now.Sub(o.lastHintCheck) < forwarderPublishInterval {
		return
	}
	o.lastHintCheck = now
	view := o.options.Members.View()
	o.publishHints(now, view)
	if now.Sub(o.lastSnapshot) < publishInterval {
		return
	}
	o.lastSnapshot = now
	snapshot := o.scheduler.Snapshot()
	o.status.Store(&snapshot)
	o.metrics.update(&snapshot)
	o.publishCrashes(now, view)
}

func (o *owner) publishHints(now time.Time, view *membership.View) {
	frame := &peerpb.Frame{Body: &peerpb.Frame_PoolHint{PoolHint: o.encodeHint(now)}}
	for _, dc := range dataCentres(view) {
		remote := view.Owner(dc, o.key.pool)
		if dc == o.key.dataCentre || remote == "" || now.Sub(o.lastHint[dc]) < o.hintInterval(now, dc) {
			continue
		}
		o.lastHint[dc] = now
		o.send(remote, frame)
	}
}

func (o *owner) hintInterval(now time.Time, dc ident.DataCentre) time.Duration {
	if now.Sub(o.lastForward[dc]) < forwarderRetention {
		return forwarderPublishInterval
	}
	return publishInterval
}

// recordForwarder records that the data centre of an entry forwards requests.
func (o *owner) recordForwarder(now time.Time, entry ident.Host) {
	if member, ok := o.options.Members.View().Member(entry); ok {
		o.lastForward[member.DataCentre] = now
	}
}

func (o *owner) encodeHint(now time.Time) *peerpb.PoolHint {
	hint := o.scheduler.Hint(now)
	return &peerpb.PoolHint{
		Pool:       string(o.key.pool),
		DataCentre: string(o.key.dataCentre),
		FreeSlots:  int32(hint.FreeSlots),
		LowestRank: int32(hint.LowestRank),
		WaitUs:     hint.Wait.Microseconds(),
	}
}

// fullCrashInterval is the time between two publications of all known crashes. In between,
// only changes are published.
const fullCrashInterval = 10 * time.Second

// publishCrashes sends the known crashes to all hosts of this data centre, since any of
// them may become the owner, and to the pool's owners in other data centres.
func (o *owner) publishCrashes(now time.Time, view *membership.View) {
	o.recordStrikes(now)
	crashes := o.unpublishedCrashes(now)
	if len(crashes) == 0 {
		return
	}
	list := &peerpb.CrashList{Pool: string(o.key.pool), Crashes: quarantine.Encode(now, crashes)}
	frame := &peerpb.Frame{Body: &peerpb.Frame_Crashes{Crashes: list}}
	for _, host := range liveMembers(view, o.key.dataCentre) {
		if host != o.options.Host {
			o.send(host, frame)
		}
	}
	for _, dc := range dataCentres(view) {
		if remote := view.Owner(dc, o.key.pool); dc != o.key.dataCentre && remote != "" {
			o.send(remote, frame)
		}
	}
}

// unpublishedCrashes returns the crashes to publish now: those that changed since the last
// publication, or all if those were not published for fullCrashInterval.
func (o *owner) unpublishedCrashes(now time.Time) []quarantine.Crash {
	since := o.crashesPublished
	o.crashesPublished = now
	if now.Sub(o.allCrashesPublished) >= fullCrashInterval {
		o.allCrashesPublished, since = now, time.Time{}
	}
	return o.crashes.CrashesSince(now, since)
}

// dataCentres returns the data centres with at least one member that is not dead.
func dataCentres(view *membership.View) []ident.DataCentre {
	seen := make(map[ident.DataCentre]struct{})
	var found []ident.DataCentre
	for _, m := range view.Members {
		if _, ok := seen[m.DataCentre]; ok || m.State == membership.Dead {
			continue
		}
		seen[m.DataCentre] = struct{}{}
		found = append(found, m.DataCentre)
	}
	return found
}

// liveMembers returns the hosts of a data centre that are not dead.
func liveMembers(view *membership.View, dc ident.DataCentre) []ident.Host {
	var live []ident.Host
	for _, m := range view.Members {
		if m.DataCentre == dc && m.State != membership.Dead {
			live = append(live, m.Host)
		}
	}
	return live
}
