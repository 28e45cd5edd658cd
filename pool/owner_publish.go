package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/quarantine"
)

// publish sends the pool's owners in other data centres a load hint and the known
// crashes of targets. A data centre that forwards requests here gets hints more often,
// since it counts each forwarded request against the last hint.
func (o *owner) publish(now time.Time) {
	if !o.publication.beginHintCheck(now) {
		return
	}
	view := o.options.Members.View()
	o.publishHints(now, view)
	if !o.publication.beginSnapshot(now) {
		return
	}
	snapshot := o.scheduler.Snapshot()
	o.status.Store(&snapshot)
	o.metrics.update(&snapshot)
	o.publishCrashes(now, view)
}

func (o *owner) publishHints(now time.Time, view *membership.View) {
	frame := &peerpb.Frame{Body: &peerpb.Frame_PoolHint{PoolHint: o.encodeHint(now)}}
	for _, dc := range dataCentres(view) {
		remote := view.Owner(dc, o.key.pool)
		if dc == o.key.dataCentre || remote == "" || !o.publication.beginHint(now, dc) {
			continue
		}
		o.send(remote, frame)
	}
}

// recordForwarder records that the data centre of an entry forwards requests.
func (o *owner) recordForwarder(now time.Time, entry ident.Host) {
	if member, ok := o.options.Members.View().Member(entry); ok {
		o.publication.recordForward(now, member.DataCentre)
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

// publishCrashes sends the known crashes to all hosts of this data centre, since any of
// them may become the owner, and to the pool's owners in other data centres.
func (o *owner) publishCrashes(now time.Time, view *membership.View) {
	o.recordStrikes(now)
	crashes := o.crashes.CrashesSince(now, o.publication.beginCrashes(now))
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
