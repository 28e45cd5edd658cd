package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// hostsPerDataCentre is the number of hosts in each of the two simulated data
	// centres.
	hostsPerDataCentre = 3
	hostInterval       = 20 * time.Millisecond
	dataCentreInterval = 100 * time.Millisecond
)

// dataCentre is a data centre whose hosts report to each other individually.
type dataCentre struct {
	name     ident.DataCentre
	limiters []*Limiter
	// stopped holds the hosts that have stopped.
	stopped map[int]bool
}

func newDataCentre(name ident.DataCentre) *dataCentre {
	dc := &dataCentre{name: name, stopped: make(map[int]bool)}
	for range hostsPerDataCentre {
		dc.limiters = append(dc.limiters, newLimiter())
	}
	return dc
}

func (dc *dataCentre) host(i int) ident.Host { return ident.Host(fmt.Sprintf("%s-%d", dc.name, i)) }

// setPeers gives each host the other ones and the number of hosts in the remote data
// centre.
func (dc *dataCentre) setPeers(remote ident.DataCentre) {
	for i, l := range dc.limiters {
		var others []ident.Host
		for j := range dc.limiters {
			if j != i {
				others = append(others, dc.host(j))
			}
		}
		l.SetPeers(start, others, map[ident.DataCentre]int{remote: hostsPerDataCentre})
	}
}

// exchangeHostReports delivers each host's own usage to the other hosts.
func (dc *dataCentre) exchangeHostReports(now time.Time) {
	for i, l := range dc.limiters {
		for j, other := range dc.limiters {
			if i != j && !dc.stopped[j] {
				l.MergeHost(now, dc.host(j), 1, other.HostUsage(now))
			}
		}
	}
}

// sendDataCentreReports delivers the totals of the data centre from its first two hosts
// to all hosts of another one.
func (dc *dataCentre) sendDataCentreReports(now time.Time, other *dataCentre) {
	for i, l := range dc.limiters[:2] {
		if dc.stopped[i] {
			continue
		}
		for _, receiver := range other.limiters {
			receiver.MergeDataCentre(now, dc.name, dc.host(i), 1, l.DataCentreUsage(now))
		}
	}
}

// runTwoDataCentres requests 10 tokens from every host each step, and returns what was
// requested and what was admitted. beforeInterval is called before each interval.
func runTwoDataCentres(length, step time.Duration, acme *route.Team, beforeInterval func(at time.Duration, east, west *dataCentre) (partitioned bool)) (requested float64, admissions []admission) {
	east, west := newDataCentre("east"), newDataCentre("west")
	east.setPeers(west.name)
	west.setPeers(east.name)
	for at := time.Duration(0); at < length; at += hostInterval {
		partitioned := beforeInterval(at, east, west)
		for _, dc := range []*dataCentre{east, west} {
			for i, l := range dc.limiters {
				if dc.stopped[i] {
					continue
				}
				requested += 10 * float64(hostInterval/step)
				admissions = append(admissions, requestEvery(l, acme, at, at+hostInterval, step)...)
			}
			dc.exchangeHostReports(after(at + hostInterval))
		}
		if at%dataCentreInterval == 0 && !partitioned {
			east.sendDataCentreReports(after(at+hostInterval), west)
			west.sendDataCentreReports(after(at+hostInterval), east)
		}
	}
	return requested, admissions
}

func noFaults(time.Duration, *dataCentre, *dataCentre) bool { return false }

// In this test and the next but one the six hosts receive requests for ten times the
// quota.
func TestConnectedDataCentresShareOneLimit(t *testing.T) {
	_, admissions := runTwoDataCentres(20*time.Second, 2*time.Millisecond, team(3000, 500), noFaults)
	if got, limit := maxInWindow(admissions), platformLimit(3000, 500); got > limit {
		t.Errorf("all hosts together admitted %v in one window, limit %v", got, limit)
	}
	if got := sum(admissions); got < 20*3000 {
		t.Errorf("admitted only %v in 20 s, the quota is %v", got, 20*3000)
	}
}

func TestUsageBelowTheQuotaIsAdmittedInAnyDataCentre(t *testing.T) {
	// Six hosts receive requests for 3000 tokens/s; the quota is 3500 tokens/s.
	requested, admissions := runTwoDataCentres(20*time.Second, hostInterval, team(3500, 500), noFaults)
	if got := sum(admissions); got != requested {
		t.Errorf("requested %v tokens, fewer than the quota, but only %v were admitted", requested, got)
	}
}

func TestLimitHoldsWhenAReporterStops(t *testing.T) {
	_, admissions := runTwoDataCentres(20*time.Second, 2*time.Millisecond, team(3000, 500), func(at time.Duration, east, _ *dataCentre) bool {
		if at == 10*time.Second {
			east.stopped[0] = true
		}
		return false
	})
	if got, limit := maxInWindow(admissions), platformLimit(3000, 500); got > limit {
		t.Errorf("all hosts together admitted %v in one window, limit %v", got, limit)
	}
}

// The hosts receive requests for three times the quota throughout a partition, also
// before either data centre has detected it.
func TestPartitionedDataCentresTogetherStayWithinTheLimit(t *testing.T) {
	_, admissions := runTwoDataCentres(30*time.Second, hostInterval/3, team(3000, 500), func(at time.Duration, _, _ *dataCentre) bool {
		return at >= 10*time.Second && at < 20*time.Second
	})
	if got, limit := maxInWindow(admissions), platformLimit(3000, 500); got > limit {
		t.Errorf("all hosts together admitted %v in one window, limit %v", got, limit)
	}
}

func TestTotalsOfSeveralReportersAreCountedOnce(t *testing.T) {
	l := newLimiter()
	l.SetPeers(start, nil, map[ident.DataCentre]int{"west": 2})
	acme := team(100, 100)
	l.Admit(start, acme, 1)
	large := platformLimit(100, 100) * 0.4
	for i, used := range []float64{0, large} {
		now := after(time.Duration(i) * time.Millisecond)
		for _, host := range []ident.Host{"west-0", "west-1"} {
			l.MergeDataCentre(now, "west", host, 1, map[ident.Team]Usage{"acme": {Total: used}})
		}
	}
	if !l.Admit(after(2*time.Millisecond), acme, 10).Allowed {
		t.Error("totals that two hosts reported for their data centre were counted twice")
	}
}

func TestFirstTotalOfARestartedReporterIsNotCounted(t *testing.T) {
	l := newLimiter()
	l.SetPeers(start, nil, map[ident.DataCentre]int{"west": 2})
	acme := team(100, 100)
	l.Admit(start, acme, 1)
	large := platformLimit(100, 100) * 0.4
	l.MergeDataCentre(after(1*time.Millisecond), "west", "west-0", 1, map[ident.Team]Usage{"acme": {Total: 10 * large}})
	l.MergeDataCentre(after(2*time.Millisecond), "west", "west-0", 2, map[ident.Team]Usage{"acme": {Total: large}})
	if !l.Admit(after(3*time.Millisecond), acme, large).Allowed {
		t.Error("request refused: what the reporter counted before its first report counts as used now")
	}
}
