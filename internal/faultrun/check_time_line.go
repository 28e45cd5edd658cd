package faultrun

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/timeline"
)

// ownedPool names one owner's part of a pool.
type ownedPool struct {
	host ident.Host
	pool ident.Pool
}

// checkTierOrder checks that no owner shed a request of the high tier while it
// knew of one of the low tier in service. It follows each owner's own events,
// since during a cut no owner knows what runs on the other side.
func checkTierOrder(events []timeline.Event) Verdict {
	v := Verdict{Promise: TierOrder}
	// serving holds the low requests in service, with their entries.
	serving := make(map[ownedPool]map[ident.Request]ident.Host)
	for _, e := range events {
		at := ownedPool{host: e.Host, pool: e.Pool}
		switch e.Kind {
		case timeline.OwnershipGained, timeline.PauseDetected:
			serving[at] = make(map[ident.Request]ident.Host)
		case timeline.Granted:
			if e.Tier == low && serving[at] != nil {
				serving[at][e.Request] = e.Peer
			}
		case timeline.Ended, timeline.GrantReturned, timeline.PreemptOrdered:
			delete(serving[at], e.Request)
		case timeline.EntryLost, timeline.EntryReported:
			forgetEntry(serving[at], e.Peer)
		case timeline.Refused:
			if e.Tier == high && e.Detail == string(outcome.Shed) {
				v.Check(len(serving[at]) == 0, func() string {
					return fmt.Sprintf("%s shed %s while %d low requests were in service", e.Host, e.Request, len(serving[at]))
				})
			}
		}
	}
	return v
}

func forgetEntry(serving map[ident.Request]ident.Host, entry ident.Host) {
	for request, host := range serving {
		if host == entry {
			delete(serving, request)
		}
	}
}

// checkSettings checks that no process of a host went back to an earlier
// version, and that every host has the newest accepted one in the end.
func (r *execution) checkSettings(events []timeline.Event) Verdict {
	v := Verdict{Promise: NoSettingsRollback}
	newest := make(map[ident.Host]uint64)
	for _, e := range events {
		if e.Kind != timeline.SettingsApplied {
			continue
		}
		if e.Sequence == 1 {
			newest[e.Host] = 0
		}
		v.Check(e.Version >= newest[e.Host], func() string {
			return fmt.Sprintf("%s went from version %d to %d", e.Host, newest[e.Host], e.Version)
		})
		newest[e.Host] = max(newest[e.Host], e.Version)
	}
	for _, h := range r.cluster.Hosts {
		version := r.versionOn(h.ID())
		v.Check(version >= r.changes.accepted, func() string {
			return fmt.Sprintf("%s has version %d, accepted was %d", h.ID(), version, r.changes.accepted)
		})
	}
	return v
}

// versionOn asks the host itself which version is in force there.
func (r *execution) versionOn(host ident.Host) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	operator := r.cluster.Host(host).OperatorClient()
	defer operator.Close()
	status, err := operator.Status(ctx)
	if err != nil {
		return 0
	}
	for _, s := range status.Hosts {
		if s.Host == host {
			return s.SettingsVersion
		}
	}
	return 0
}
