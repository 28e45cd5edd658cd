package streamversion

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// ownRecord is a stream that began, or went on, at this host.
type ownRecord struct {
	record Record
	target ident.Target
	// process is when the target started according to its entry, in Unix milliseconds.
	process int64
	at      time.Time
}

// clockMargin is how far the clocks of hosts and targets may differ.
const clockMargin = time.Second

// addOwn adds a record and drops those that are too old.
func (t *Tracker) addOwn(now time.Time, r ownRecord) {
	t.own = append(t.own, r)
	drop := 0
	for drop < len(t.own) && (now.Sub(t.own[drop].at) > t.lifetime || len(t.own)-drop > maxWaiting) {
		drop++
	}
	t.own = t.own[drop:]
}

// correctOwn makes the origins of the streams unsure that the target's next process may
// have begun before its entry named it.
func (t *Tracker) correctOwn(now time.Time, before, after route.Target) {
	if before.StartUnixMs == after.StartUnixMs || before.Version == after.Version {
		return
	}
	started := time.UnixMilli(after.StartUnixMs).Add(-clockMargin)
	for i := range t.own {
		r := &t.own[i]
		if r.target == before.Name && r.process == before.StartUnixMs && r.at.After(started) {
			r.record.Origin.Unsure = true
			t.records.put(now, r.record.Key, r.record.Origin)
			t.outbox.add(r.record)
		}
	}
}

// queueOwn queues all records of this host for the other hosts.
func (t *Tracker) queueOwn(now time.Time) {
	t.reportAgainAt = time.Time{}
	for _, r := range t.own {
		if now.Sub(r.at) <= t.lifetime {
			t.outbox.add(r.record)
		}
	}
}
