package faultrun

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/timeline"
)

// poolOwner identifies a pool on the host that owns it.
type poolOwner struct {
	host ident.Host
	pool ident.Pool
}

// checkTierOrder checks that no owner shed a high-tier request while it knew of a
// low-tier request in service. It evaluates each owner's events separately, as an owner
// cannot know what runs on the other side of a network partition.
func checkTierOrder(events []timeline.Event) Verdict {
	v := Verdict{Promise: TierOrder}
	// serving holds the low-tier requests in service and their entry hosts.
	serving := make(map[poolOwner]map[ident.Request]ident.Host)
	for _, e := range events {
		at := poolOwner{host: e.Host, pool: e.Pool}
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
			removeEntryRequests(serving[at], e.Peer)
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

func removeEntryRequests(serving map[ident.Request]ident.Host, entry ident.Host) {
	for request, host := range serving {
		if host == entry {
			delete(serving, request)
		}
	}
}

// checkSettings checks that no host process reverted to an earlier settings version,
// and that every host has at least the newest accepted version at the end.
func (r *runner) checkSettings(events []timeline.Event) Verdict {
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
		version := r.settingsVersionOn(h.ID())
		v.Check(version >= r.changes.newestAccepted, func() string {
			return fmt.Sprintf("%s has version %d, accepted was %d", h.ID(), version, r.changes.newestAccepted)
		})
	}
	return v
}

// settingsVersionOn queries a host for the settings version in force there. It returns
// 0 if the host does not respond.
func (r *runner) settingsVersionOn(host ident.Host) uint64 {
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
