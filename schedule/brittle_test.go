package schedule

import (
	"fmt"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
)

// sharingHosts returns the schedulers of hosts that know of each other and of one target.
func sharingHosts(n, slots int) map[ident.Host]*Scheduler {
	names := make([]ident.Host, n)
	for i := range names {
		names[i] = ident.Host(fmt.Sprint("h", i))
	}
	hosts := make(map[ident.Host]*Scheduler)
	for _, name := range names {
		s := New(Options{Host: name, DataCentre: "near", Random: func() float64 { return 0 }})
		s.Configure(at(0), pools(), engines(slots))
		others := make(map[ident.Host]ident.DataCentre)
		for _, other := range names {
			if other != name {
				others[other] = "near"
			}
		}
		s.SetPeers(at(0), others)
		hosts[name] = s
	}
	return hosts
}

// dispatchAll enqueues requests at each host at once and returns how many are dispatched.
func dispatchAll(t *testing.T, hosts map[ident.Host]*Scheduler, ms, each int) int {
	t.Helper()
	sent := 0
	for name, s := range hosts {
		for i := range each {
			s.Enqueue(at(ms), request(fmt.Sprintf("%s-%d-%d", name, ms, i), ms, 0))
		}
		sent += len(dispatched(t, s, ms))
	}
	return sent
}

func TestHostsThatDoNotSeeEachOthersRequestsDoNotOverfillABrittleTarget(t *testing.T) {
	for _, n := range []int{1, 3, 16, 60} {
		const slots = 7
		hosts := sharingHosts(n, slots)
		informed := hosts["h0"]
		informed.RecordBrittle(at(0), informed.targets["t0"].Target, true)
		report := informed.LocalState(at(1))
		for name, s := range hosts {
			if name != "h0" {
				s.ApplyPeerState(at(2), "h0", report)
			}
		}
		if sent := dispatchAll(t, hosts, 10, slots); sent != slots {
			t.Errorf("%d hosts: %d requests were sent at once, want all %d slots used and no more", n, sent, slots)
		}
	}
}

func TestTargetIsNoLongerBrittleOnceItDoesNotSaySo(t *testing.T) {
	hosts := sharingHosts(2, 4)
	s := hosts["h0"]
	entry := s.targets["t0"].Target
	s.RecordBrittle(at(0), entry, true)
	s.RecordBrittle(at(10), entry, false)
	if sent := dispatchAll(t, map[ident.Host]*Scheduler{"h0": s}, 20, 4); sent != 4 {
		t.Errorf("%d requests were sent, want all slots used", sent)
	}
	other := hosts["h1"]
	other.RecordBrittle(at(0), entry, true)
	late := int(brittleTTL.Milliseconds()) + 1
	if sent := dispatchAll(t, map[ident.Host]*Scheduler{"h1": other}, late, 4); sent != 4 {
		t.Errorf("%d requests were sent after the statement has expired, want all slots used", sent)
	}
}
