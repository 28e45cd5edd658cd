package quota

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

var (
	start  = time.Unix(1_000_000, 0)
	limits = Limits{Window: 8 * time.Second, Overage: 0.1, Allowance: 1000}
)

// warmAge is an age at which a limiter knows its whole window.
const warmAge = 10 * time.Second

func after(d time.Duration) time.Time { return start.Add(d) }

func newLimiter() *Limiter { return NewLimiter(start.Add(-warmAge), limits) }

func team(rate, burst float64) *route.Team {
	return &route.Team{Name: "acme", Quota: route.Quota{PerSecond: rate, Burst: burst, CountsTokens: true}}
}

// platformLimit is what the platform allows in any window.
func platformLimit(rate, burst float64) float64 {
	return (rate*limits.Window.Seconds()+burst)*(1+limits.Overage) + limits.Allowance
}

// admission is one admitted request.
type admission struct {
	at     time.Duration
	amount float64
}

// requestEvery requests 10 tokens from a limiter every step and returns what was
// admitted.
func requestEvery(l *Limiter, team *route.Team, from, to, step time.Duration) []admission {
	var admissions []admission
	for at := from; at < to; at += step {
		if l.Admit(after(at), team, 10).Allowed {
			admissions = append(admissions, admission{at, 10})
		}
	}
	return admissions
}

func sum(admissions []admission) float64 {
	total := 0.0
	for _, a := range admissions {
		total += a.amount
	}
	return total
}

// maxInWindow returns the largest sum within any window. The admissions are in order
// of time.
func maxInWindow(admissions []admission) float64 {
	largest, within, first := 0.0, 0.0, 0
	for _, a := range admissions {
		within += a.amount
		for a.at-admissions[first].at > limits.Window {
			within -= admissions[first].amount
			first++
		}
		largest = max(largest, within)
	}
	return largest
}

func TestOneHostStaysWithinTheLimitInEveryWindow(t *testing.T) {
	admissions := requestEvery(newLimiter(), team(1000, 500), 0, 40*time.Second, time.Millisecond)
	if got, limit := maxInWindow(admissions), platformLimit(1000, 500); got > limit {
		t.Errorf("admitted %v in one window, limit %v", got, limit)
	}
	if got := sum(admissions); got < 40*1000 {
		t.Errorf("admitted only %v in 40 s, the quota is %v", got, 40*1000)
	}
}

// runThreeHosts simulates three hosts that report their usage to each other every
// 50 ms. Two of them receive a request for 10 tokens every step. It returns what was
// requested and what was admitted.
func runThreeHosts(length time.Duration, steps [2]time.Duration) (requested float64, admissions []admission) {
	const interval = 50 * time.Millisecond
	hosts := map[ident.Host]*Limiter{"a": newLimiter(), "b": newLimiter(), "c": newLimiter()}
	for name, l := range hosts {
		l.SetPeers(start, others(hosts, name), nil)
	}
	for at := time.Duration(0); at < length; at += interval {
		for i, name := range []ident.Host{"a", "b"} {
			requested += 10 * float64(interval/steps[i])
			admissions = append(admissions, requestEvery(hosts[name], team(1000, 500), at, at+interval, steps[i])...)
		}
		for name, l := range hosts {
			for _, other := range others(hosts, name) {
				l.MergeHost(after(at+interval), other, 1, hosts[other].HostUsage(after(at+interval)))
			}
		}
	}
	return requested, admissions
}

func others(hosts map[ident.Host]*Limiter, name ident.Host) []ident.Host {
	var list []ident.Host
	for other := range hosts {
		if other != name {
			list = append(list, other)
		}
	}
	return list
}

func TestConnectedHostsShareOneLimit(t *testing.T) {
	_, admissions := runThreeHosts(30*time.Second, [2]time.Duration{time.Millisecond, 10 * time.Millisecond})
	if got, limit := maxInWindow(admissions), platformLimit(1000, 500); got > limit {
		t.Errorf("all hosts together admitted %v in one window, limit %v", got, limit)
	}
	if got := sum(admissions); got < 30*1000 {
		t.Errorf("admitted only %v in 30 s, the quota is %v", got, 30*1000)
	}
}

func TestUsageBelowTheQuotaIsAdmittedOnAnyHost(t *testing.T) {
	requested, admissions := runThreeHosts(30*time.Second, [2]time.Duration{12500 * time.Microsecond, 50 * time.Millisecond})
	if got := sum(admissions); got != requested {
		t.Errorf("requested %v tokens, fewer than the quota, but only %v were admitted", requested, got)
	}
}

func TestPartitionedHostsTogetherStayWithinTheLimit(t *testing.T) {
	names := []ident.Host{"a", "b", "c", "d"}
	total := 0.0
	for i, name := range names {
		l := newLimiter()
		var rest []ident.Host
		rest = append(append(rest, names[:i]...), names[i+1:]...)
		l.SetPeers(start, rest, nil)
		requestEvery(l, team(1000, 500), 0, 20*time.Second, time.Millisecond)
		own := maxInWindow(requestEvery(l, team(1000, 500), 20*time.Second, 40*time.Second, time.Millisecond))
		if own < platformLimit(1000, 500)/8 {
			t.Errorf("host %s alone admitted only %v in one window", name, own)
		}
		total += own
	}
	if limit := platformLimit(1000, 500); total > limit {
		t.Errorf("all hosts together admitted %v in one window, limit %v", total, limit)
	}
}

// A team exceeds its quota by far for some seconds before all hosts restart. The new
// processes have no record of that usage and must not admit the quota a second time.
func TestRestartOfAllHostsStaysWithinTheLimit(t *testing.T) {
	const down = time.Second
	for surgeLength := time.Duration(0); surgeLength <= 8*time.Second; surgeLength += time.Second {
		for _, down := range []time.Duration{down, 2 * down} {
			restart := 20*time.Second + surgeLength
			first := newLimiter()
			admissions := requestEvery(first, team(1000, 500), 0, 20*time.Second, 18*time.Millisecond)
			admissions = append(admissions, requestEvery(first, team(1000, 500), 20*time.Second, restart, time.Millisecond)...)
			second := NewLimiter(after(restart+down), limits)
			admissions = append(admissions, requestEvery(second, team(1000, 500), restart+down, restart+12*time.Second, time.Millisecond)...)
			if got, limit := maxInWindow(admissions), platformLimit(1000, 500); got > limit {
				t.Errorf("restart %v after the surge began, down for %v: admitted %v in one window, limit %v", surgeLength, down, got, limit)
			}
		}
	}
}

func TestNormalUsageIsAdmittedAfterARestart(t *testing.T) {
	l := NewLimiter(start, limits)
	// Quotas are about 1.8 times the normal usage.
	admissions := requestEvery(l, team(1000, 500), 0, 8*time.Second, 18*time.Millisecond)
	if got, requested := sum(admissions), 10*8000.0/18; got < 0.98*requested {
		t.Errorf("requested %v, but only %v were admitted", requested, got)
	}
}

func TestStartingHostTakesUsageFromAnother(t *testing.T) {
	l := NewLimiter(start, limits)
	l.SetPeers(start, []ident.Host{"b"}, nil)
	l.MergeHost(after(time.Millisecond), "b", 1, map[ident.Team]Usage{"acme": {Total: 5000, WarmedUp: true, Window: 100}})
	if !l.Admit(after(2*time.Millisecond), team(1000, 500), 4000).Allowed {
		t.Error("request refused although another host reported low usage")
	}
}

func TestRefundedCostCanBeUsedAgain(t *testing.T) {
	l := newLimiter()
	acme := team(100, 100)
	large := platformLimit(100, 100) * 0.4
	if !l.Admit(start, acme, large).Allowed {
		t.Fatal("first request refused")
	}
	if v := l.Admit(start, acme, large); v.Allowed || v.RetryAfter <= 0 || v.RetryAfter > 9*time.Second {
		t.Fatalf("second request was admitted, or its retry delay is out of range: %v", v.RetryAfter)
	}
	l.Refund(acme, large)
	if !l.Admit(start, acme, large).Allowed {
		t.Error("request refused although the cost was refunded")
	}
}

func TestLowerQuotaHoldsAfterOneWindow(t *testing.T) {
	l := newLimiter()
	requestEvery(l, team(1000, 1000), 0, 10*time.Second, time.Millisecond)
	lower := team(100, 100)
	admissions := requestEvery(l, lower, 10*time.Second, 30*time.Second, time.Millisecond)
	var afterWindow []admission
	for _, a := range admissions {
		if a.at >= 18*time.Second {
			afterWindow = append(afterWindow, a)
		}
	}
	if got, limit := maxInWindow(afterWindow), platformLimit(100, 100); got > limit {
		t.Errorf("admitted %v in one window under the lower quota, limit %v", got, limit)
	}
	if got := sum(admissions[:min(len(admissions), 10)]); got < 100 {
		t.Errorf("nothing is admitted right after the quota change")
	}
}

func TestRefundOnAnotherHostIsNotCounted(t *testing.T) {
	l := newLimiter()
	acme := team(100, 100)
	l.SetPeers(start, []ident.Host{"b"}, nil)
	if !l.Admit(start, acme, 1).Allowed {
		t.Fatal("first request refused")
	}
	reported := []float64{0, 500, 100, 500, 100, 500, 100}
	for i, used := range reported {
		l.MergeHost(after(time.Duration(i)*time.Millisecond), "b", 1, map[ident.Team]Usage{"acme": {Total: used}})
	}
	if !l.Admit(after(10*time.Millisecond), acme, 400).Allowed {
		t.Error("request refused: usage that another host refunded still counts")
	}
}

func TestRestartedHostCountsFromZero(t *testing.T) {
	l := newLimiter()
	acme := team(100, 100)
	l.SetPeers(start, []ident.Host{"b"}, nil)
	l.Admit(start, acme, 1)
	l.MergeHost(after(1*time.Millisecond), "b", 1, map[ident.Team]Usage{"acme": {}})
	l.MergeHost(after(2*time.Millisecond), "b", 1, map[ident.Team]Usage{"acme": {Total: 600}})
	l.MergeHost(after(3*time.Millisecond), "b", 2, map[ident.Team]Usage{"acme": {Total: 600}})
	if l.Admit(after(4*time.Millisecond), acme, 400).Allowed {
		t.Error("request admitted: usage of the restarted process does not count")
	}
}

func TestTeamThatWasNotBusyIsAdmittedAfterARestartOfAllHosts(t *testing.T) {
	l := NewLimiter(start, limits)
	l.RestoreBusyTeams(start, map[ident.Team]time.Duration{"other": time.Second})
	acme := team(1000, 500)
	// Callers that waited for the hosts return all at once.
	if !l.Admit(start, acme, 2*1000/1.8).Allowed {
		t.Error("burst of two seconds of normal usage refused")
	}
	admissions := requestEvery(l, acme, 0, 8*time.Second, 18*time.Millisecond)
	if got, requested := sum(admissions), 10*8000.0/18; got < 0.98*requested {
		t.Errorf("requested %v, but only %v were admitted", requested, got)
	}
}

func TestBusyTeamIsReported(t *testing.T) {
	l := newLimiter()
	acme := team(1000, 500)
	requestEvery(l, acme, 0, 8*time.Second, 18*time.Millisecond)
	if busy := l.BusyTeams(after(8 * time.Second)); len(busy) != 0 {
		t.Errorf("team with normal usage reported as busy: %v", busy)
	}
	requestEvery(l, acme, 8*time.Second, 12*time.Second, time.Millisecond)
	if busy := l.BusyTeams(after(12 * time.Second)); len(busy) != 1 {
		t.Errorf("team at its limit not reported as busy")
	}
}

// One of three hosts is partitioned from the others at the moment a team starts to
// request over three times its quota, six times its normal usage. Both sides must stay
// within the limit before either has detected the partition.
func TestLimitHoldsFromTheStartOfAPartition(t *testing.T) {
	const (
		interval       = 50 * time.Millisecond
		partitionStart = 10 * time.Second
		partitionEnd   = 18 * time.Second
		end            = 30 * time.Second
	)
	acme := team(1000, 500)
	hosts := map[ident.Host]*Limiter{"a": newLimiter(), "b": newLimiter(), "c": newLimiter()}
	for name, l := range hosts {
		l.SetPeers(start, others(hosts, name), nil)
	}
	var admissions []admission
	for at := time.Duration(0); at < end; at += interval {
		step := 50 * time.Millisecond
		if at > partitionStart {
			step = 9 * time.Millisecond
		}
		for _, name := range []ident.Host{"a", "b", "c"} {
			admissions = append(admissions, requestEvery(hosts[name], acme, at, at+interval, step)...)
		}
		for name, l := range hosts {
			for _, other := range others(hosts, name) {
				if (name == "c" || other == "c") && at >= partitionStart && at < partitionEnd {
					continue
				}
				l.MergeHost(after(at+interval), other, 1, hosts[other].HostUsage(after(at+interval)))
			}
		}
	}
	if got, limit := maxInWindow(admissions), platformLimit(1000, 500); got > limit {
		t.Errorf("all hosts together admitted %v in one window, limit %v", got, limit)
	}
}

// One of three hosts loses power while a team requests over three times its quota. It
// returns without knowledge of earlier usage and must take it from the other hosts.
func TestRestartOfOneHostStaysWithinTheLimit(t *testing.T) {
	const (
		interval   = 50 * time.Millisecond
		surgeStart = 10 * time.Second
		stopAt     = 10500 * time.Millisecond
		restartAt  = 14 * time.Second
		end        = 30 * time.Second
	)
	acme := team(1000, 500)
	hosts := map[ident.Host]*Limiter{"a": newLimiter(), "b": newLimiter(), "c": newLimiter()}
	for name, l := range hosts {
		l.SetPeers(start, others(hosts, name), nil)
	}
	var admissions []admission
	incarnation := uint64(1)
	for at := time.Duration(0); at < end; at += interval {
		down := at >= stopAt && at < restartAt
		if at == restartAt {
			hosts["c"] = NewLimiter(after(at), limits)
			hosts["c"].SetPeers(after(at), []ident.Host{"a", "b"}, nil)
			incarnation = 2
		}
		step := 50 * time.Millisecond
		if at > surgeStart {
			step = 9 * time.Millisecond
		}
		for name, l := range hosts {
			for _, other := range others(hosts, name) {
				if down && (name == "c" || other == "c") {
					continue
				}
				reportedIncarnation := uint64(1)
				if other == "c" {
					reportedIncarnation = incarnation
				}
				l.MergeHost(after(at), other, reportedIncarnation, hosts[other].HostUsage(after(at)))
			}
		}
		for _, name := range []ident.Host{"a", "b", "c"} {
			if !down || name != "c" {
				admissions = append(admissions, requestEvery(hosts[name], acme, at, at+interval, step)...)
			}
		}
	}
	if got, limit := maxInWindow(admissions), platformLimit(1000, 500); got > limit {
		t.Errorf("all hosts together admitted %v in one window, limit %v", got, limit)
	}
}

func TestRequestsInTheStartGraceAreAdmittedAndCounted(t *testing.T) {
	l := NewLimiter(start, limits)
	acme := team(1000, 500)
	if !l.Admit(after(5*time.Millisecond), acme, 100).Allowed {
		t.Error("request refused right after the start, before the busy teams were restored")
	}
	l.RestoreBusyTeams(after(20*time.Millisecond), nil)
	before := l.Admit(after(21*time.Millisecond), acme, 0).Used
	if normal := normalUsedShare * platformLimit(1000, 500); before > normal+100 {
		t.Errorf("%v counted as used after the busy teams were restored, want at most %v", before, normal+100)
	}
	if !l.Admit(after(22*time.Millisecond), acme, 1000).Allowed {
		t.Error("team that was not busy is still treated as busy")
	}
}

func TestAssumedUsageMakesNoTeamBusy(t *testing.T) {
	l := newLimiter()
	acme := team(1000, 500)
	l.SetPeers(start, []ident.Host{"b", "c"}, nil)
	requestEvery(l, acme, 0, 8*time.Second, 54*time.Millisecond)
	if busy := l.BusyTeams(after(8 * time.Second)); len(busy) != 0 {
		t.Errorf("team reported as busy because of usage assumed for two silent hosts: %v", busy)
	}
}

// Seven hosts report to each other every 20 ms, and a team requests five times its
// quota from each. When usage leaves the window, every host sees the same free capacity
// at once; without headroom each of them would use it.
func TestManyHostsDoNotAllUseTheSameFreedCapacity(t *testing.T) {
	const interval = 20 * time.Millisecond
	acme := team(1000, 500)
	hosts := make(map[ident.Host]*Limiter)
	for _, name := range []ident.Host{"a", "b", "c", "d", "e", "f", "g"} {
		hosts[name] = newLimiter()
	}
	for name, l := range hosts {
		l.SetPeers(start, others(hosts, name), nil)
	}
	var admissions []admission
	for at := time.Duration(0); at < 30*time.Second; at += interval {
		for _, l := range hosts {
			for offset := time.Duration(0); offset < interval; offset += 10 * time.Millisecond {
				if l.Admit(after(at+offset), acme, 50).Allowed {
					admissions = append(admissions, admission{at, 50})
				}
			}
		}
		for name, l := range hosts {
			for _, other := range others(hosts, name) {
				l.MergeHost(after(at+interval), other, 1, hosts[other].HostUsage(after(at+interval)))
			}
		}
	}
	if got, limit := maxInWindow(admissions), platformLimit(1000, 500); got > limit {
		t.Errorf("all hosts together admitted %v in one window, limit %v", got, limit)
	}
	if got := sum(admissions); got < 30*1000 {
		t.Errorf("admitted only %v in 30 s, the quota is %v", got, 30*1000)
	}
}

// Hosts that start together discover each other only some time later. What they
// admitted before that must count in the others' first window.
func TestUsageOfHostsThatStartTogetherIsCounted(t *testing.T) {
	const (
		discovery = time.Second
		interval  = 50 * time.Millisecond
	)
	acme := team(1000, 500)
	hosts := make(map[ident.Host]*Limiter)
	for _, name := range []ident.Host{"a", "b", "c"} {
		hosts[name] = NewLimiter(start, limits)
		hosts[name].RestoreBusyTeams(start, nil)
	}
	var admissions []admission
	for at := time.Duration(0); at < 10*time.Second; at += interval {
		for name, l := range hosts {
			if at == discovery {
				l.SetPeers(after(at), others(hosts, name), nil)
			}
			for _, other := range others(hosts, name) {
				if at >= discovery {
					l.MergeHost(after(at), other, 1, hosts[other].HostUsage(after(at)))
				}
			}
			admissions = append(admissions, requestEvery(l, acme, at, at+interval, 5*time.Millisecond)...)
		}
	}
	slices.SortFunc(admissions, func(a, b admission) int { return cmp.Compare(a.at, b.at) })
	if got, limit := maxInWindow(admissions), platformLimit(1000, 500); got > limit {
		t.Errorf("all hosts together admitted %v in one window, limit %v", got, limit)
	}
}

// A team uses its quota on one host and then moves to another, which has run for long
// but has no account of the team yet. The new account must include that usage.
func TestFirstRequestOfATeamOnAHostCountsUsageOnOthers(t *testing.T) {
	a, b := newLimiter(), newLimiter()
	acme := team(1000, 500)
	a.SetPeers(start, []ident.Host{"b"}, nil)
	b.SetPeers(start, []ident.Host{"a"}, nil)
	var admissions []admission
	const interval = 50 * time.Millisecond
	for at := time.Duration(0); at < 12*time.Second; at += interval {
		a.MergeHost(after(at), "b", 1, b.HostUsage(after(at)))
		b.MergeHost(after(at), "a", 1, a.HostUsage(after(at)))
		requested := a
		if at >= 6*time.Second {
			requested = b
		}
		admissions = append(admissions, requestEvery(requested, acme, at, at+interval, time.Millisecond)...)
	}
	if got, limit := maxInWindow(admissions), platformLimit(1000, 500); got > limit {
		t.Errorf("both hosts together admitted %v in one window, limit %v", got, limit)
	}
}
