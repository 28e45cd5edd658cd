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

// warm is the age at which a ledger knows its whole window.
const warm = 10 * time.Second

func after(d time.Duration) time.Time { return start.Add(d) }

func newLedger() *Limiter { return NewLimiter(start.Add(-warm), limits) }

func team(rate, burst float64) *route.Team {
	return &route.Team{Name: "acme", Quota: route.Quota{PerSecond: rate, Burst: burst, CountsTokens: true}}
}

// bound is what the platform allows in any window.
func bound(rate, burst float64) float64 {
	return (rate*limits.Window.Seconds()+burst)*(1+limits.Overage) + limits.Allowance
}

// use is one request that was let through.
type use struct {
	at     time.Duration
	amount float64
}

// spend asks a ledger for 10 tokens every step and returns what it let through.
func spend(l *Limiter, team *route.Team, from, to, step time.Duration) []use {
	var uses []use
	for at := from; at < to; at += step {
		if l.Admit(after(at), team, 10).Allowed {
			uses = append(uses, use{at, 10})
		}
	}
	return uses
}

func sum(uses []use) float64 {
	total := 0.0
	for _, u := range uses {
		total += u.amount
	}
	return total
}

// mostOf returns the largest use within any window. The uses are in order.
func mostOf(uses []use) float64 {
	largest, within, first := 0.0, 0.0, 0
	for _, u := range uses {
		within += u.amount
		for u.at-uses[first].at > limits.Window {
			within -= uses[first].amount
			first++
		}
		largest = max(largest, within)
	}
	return largest
}

func TestOneHostKeepsTheBoundInEveryWindow(t *testing.T) {
	uses := spend(newLedger(), team(1000, 500), 0, 40*time.Second, time.Millisecond)
	if got, limit := mostOf(uses), bound(1000, 500); got > limit {
		t.Errorf("a window holds %v, more than %v", got, limit)
	}
	if got := sum(uses); got < 40*1000 {
		t.Errorf("in 40 s only %v of the quota of %v could be used", got, 40*1000)
	}
}

// share plays so long of three hosts that tell each other every 50 ms what they
// let through. Two of them are asked for 10 tokens every step. It returns what was
// asked for and let through.
func share(length time.Duration, steps [2]time.Duration) (asked float64, uses []use) {
	const round = 50 * time.Millisecond
	hosts := map[ident.Host]*Limiter{"a": newLedger(), "b": newLedger(), "c": newLedger()}
	for name, l := range hosts {
		l.SetPeers(start, others(hosts, name), nil)
	}
	for at := time.Duration(0); at < length; at += round {
		for i, name := range []ident.Host{"a", "b"} {
			asked += 10 * float64(round/steps[i])
			uses = append(uses, spend(hosts[name], team(1000, 500), at, at+round, steps[i])...)
		}
		for name, l := range hosts {
			for _, other := range others(hosts, name) {
				l.MergeHost(after(at+round), other, 1, hosts[other].HostUsage(after(at+round)))
			}
		}
	}
	return asked, uses
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

func TestHostsThatTalkShareOneBound(t *testing.T) {
	_, uses := share(30*time.Second, [2]time.Duration{time.Millisecond, 10 * time.Millisecond})
	if got, limit := mostOf(uses), bound(1000, 500); got > limit {
		t.Errorf("a window holds %v over all hosts, more than %v", got, limit)
	}
	if got := sum(uses); got < 30*1000 {
		t.Errorf("in 30 s only %v of the quota of %v could be used", got, 30*1000)
	}
}

func TestNothingBelowTheQuotaIsRefusedWhereverItArrives(t *testing.T) {
	asked, uses := share(30*time.Second, [2]time.Duration{12500 * time.Microsecond, 50 * time.Millisecond})
	if got := sum(uses); got != asked {
		t.Errorf("of %v tokens, fewer than the quota, only %v got through", asked, got)
	}
}

func TestHostsThatCannotTalkStayWithinTheBoundTogether(t *testing.T) {
	names := []ident.Host{"a", "b", "c", "d"}
	total := 0.0
	for i, name := range names {
		l := newLedger()
		var rest []ident.Host
		rest = append(append(rest, names[:i]...), names[i+1:]...)
		l.SetPeers(start, rest, nil)
		spend(l, team(1000, 500), 0, 20*time.Second, time.Millisecond)
		own := mostOf(spend(l, team(1000, 500), 20*time.Second, 40*time.Second, time.Millisecond))
		if own < bound(1000, 500)/8 {
			t.Errorf("%s alone lets only %v through in a window", name, own)
		}
		total += own
	}
	if limit := bound(1000, 500); total > limit {
		t.Errorf("together they let %v through in a window, more than %v", total, limit)
	}
}

// TestRestartOfAllHostsKeepsTheBound plays a team that begins to ask for far more
// than its quota some seconds before all hosts start again and have forgotten it.
func TestRestartOfAllHostsKeepsTheBound(t *testing.T) {
	const down = time.Second
	for heat := time.Duration(0); heat <= 8*time.Second; heat += time.Second {
		for _, down := range []time.Duration{down, 2 * down} {
			restart := 20*time.Second + heat
			first := newLedger()
			uses := spend(first, team(1000, 500), 0, 20*time.Second, 18*time.Millisecond)
			uses = append(uses, spend(first, team(1000, 500), 20*time.Second, restart, time.Millisecond)...)
			second := NewLimiter(after(restart+down), limits)
			uses = append(uses, spend(second, team(1000, 500), restart+down, restart+12*time.Second, time.Millisecond)...)
			if got, limit := mostOf(uses), bound(1000, 500); got > limit {
				t.Errorf("restart %v after the heat began, %v down: a window holds %v, more than %v", heat, down, got, limit)
			}
		}
	}
}

func TestUsualUseIsNotRefusedAfterARestart(t *testing.T) {
	l := NewLimiter(start, limits)
	// Quotas are about 1.8 times the usual use.
	uses := spend(l, team(1000, 500), 0, 8*time.Second, 18*time.Millisecond)
	if got, asked := sum(uses), 10*8000.0/18; got < 0.98*asked {
		t.Errorf("of %v only %v got through", asked, got)
	}
}

func TestHostThatStartsLearnsTheUseFromAnother(t *testing.T) {
	l := NewLimiter(start, limits)
	l.SetPeers(start, []ident.Host{"b"}, nil)
	l.MergeHost(after(time.Millisecond), "b", 1, map[ident.Team]Usage{"acme": {Total: 5000, WarmedUp: true, Window: 100}})
	if !l.Admit(after(2*time.Millisecond), team(1000, 500), 4000).Allowed {
		t.Error("a request was refused though another host told that little was used")
	}
}

func TestWhatDidNotRunIsGivenBack(t *testing.T) {
	l := newLedger()
	acme := team(100, 100)
	large := bound(100, 100) * 0.4
	if !l.Admit(start, acme, large).Allowed {
		t.Fatal("the first request was refused")
	}
	if v := l.Admit(start, acme, large); v.Allowed || v.RetryAfter <= 0 || v.RetryAfter > 9*time.Second {
		t.Fatalf("the second was let through, or told to come back after %v", v.RetryAfter)
	}
	l.Refund(acme, large)
	if !l.Admit(start, acme, large).Allowed {
		t.Error("what was given back cannot be used")
	}
}

func TestLowerLimitHoldsAfterOneWindow(t *testing.T) {
	l := newLedger()
	spend(l, team(1000, 1000), 0, 10*time.Second, time.Millisecond)
	lower := team(100, 100)
	uses := spend(l, lower, 10*time.Second, 30*time.Second, time.Millisecond)
	var bound18 []use
	for _, u := range uses {
		if u.at >= 18*time.Second {
			bound18 = append(bound18, u)
		}
	}
	if got, limit := mostOf(bound18), bound(100, 100); got > limit {
		t.Errorf("under the lower limit a window holds %v, more than %v", got, limit)
	}
	if got := sum(uses[:min(len(uses), 10)]); got < 100 {
		t.Errorf("right after the change nothing gets through")
	}
}

func TestWhatAnotherHostGaveBackIsNotCounted(t *testing.T) {
	l := newLedger()
	acme := team(100, 100)
	l.SetPeers(start, []ident.Host{"b"}, nil)
	if !l.Admit(start, acme, 1).Allowed {
		t.Fatal("the first request was refused")
	}
	told := []float64{0, 500, 100, 500, 100, 500, 100}
	for i, used := range told {
		l.MergeHost(after(time.Duration(i)*time.Millisecond), "b", 1, map[ident.Team]Usage{"acme": {Total: used}})
	}
	if !l.Admit(after(10*time.Millisecond), acme, 400).Allowed {
		t.Error("what another host gave back still counts")
	}
}

func TestHostThatStartsAgainCountsFromZero(t *testing.T) {
	l := newLedger()
	acme := team(100, 100)
	l.SetPeers(start, []ident.Host{"b"}, nil)
	l.Admit(start, acme, 1)
	l.MergeHost(after(1*time.Millisecond), "b", 1, map[ident.Team]Usage{"acme": {}})
	l.MergeHost(after(2*time.Millisecond), "b", 1, map[ident.Team]Usage{"acme": {Total: 600}})
	l.MergeHost(after(3*time.Millisecond), "b", 2, map[ident.Team]Usage{"acme": {Total: 600}})
	if l.Admit(after(4*time.Millisecond), acme, 400).Allowed {
		t.Error("what the new process let through does not count")
	}
}

func TestCalmTeamIsNotRefusedAfterARestartOfAllHosts(t *testing.T) {
	l := NewLimiter(start, limits)
	l.RestoreBusyTeams(start, map[ident.Team]time.Duration{"other": time.Second})
	acme := team(1000, 500)
	// Callers that waited for the hosts come back all at once.
	if !l.Admit(start, acme, 2*1000/1.8).Allowed {
		t.Error("the use of two usual seconds was refused")
	}
	uses := spend(l, acme, 0, 8*time.Second, 18*time.Millisecond)
	if got, asked := sum(uses), 10*8000.0/18; got < 0.98*asked {
		t.Errorf("of %v only %v got through", asked, got)
	}
}

func TestBusyTeamIsRemembered(t *testing.T) {
	l := newLedger()
	acme := team(1000, 500)
	spend(l, acme, 0, 8*time.Second, 18*time.Millisecond)
	if busy := l.BusyTeams(after(8 * time.Second)); len(busy) != 0 {
		t.Errorf("a team with its usual use is busy: %v", busy)
	}
	spend(l, acme, 8*time.Second, 12*time.Second, time.Millisecond)
	if busy := l.BusyTeams(after(12 * time.Second)); len(busy) != 1 {
		t.Errorf("a team that uses all it can is not busy")
	}
}

// TestHostsThatAreCutOffKeepTheBoundFromTheStart plays three hosts that talk, of
// which one is cut off while a team begins to ask for over three times its quota,
// six times of what is usual.
func TestHostsThatAreCutOffKeepTheBoundFromTheStart(t *testing.T) {
	const (
		round = 50 * time.Millisecond
		cut   = 10 * time.Second
		heal  = 18 * time.Second
		end   = 30 * time.Second
	)
	acme := team(1000, 500)
	hosts := map[ident.Host]*Limiter{"a": newLedger(), "b": newLedger(), "c": newLedger()}
	for name, l := range hosts {
		l.SetPeers(start, others(hosts, name), nil)
	}
	var uses []use
	for at := time.Duration(0); at < end; at += round {
		step := 50 * time.Millisecond
		if at > cut {
			step = 9 * time.Millisecond
		}
		for _, name := range []ident.Host{"a", "b", "c"} {
			uses = append(uses, spend(hosts[name], acme, at, at+round, step)...)
		}
		for name, l := range hosts {
			for _, other := range others(hosts, name) {
				if (name == "c" || other == "c") && at >= cut && at < heal {
					continue
				}
				l.MergeHost(after(at+round), other, 1, hosts[other].HostUsage(after(at+round)))
			}
		}
	}
	if got, limit := mostOf(uses), bound(1000, 500); got > limit {
		t.Errorf("a window holds %v over all hosts, more than %v", got, limit)
	}
}

// TestHostThatRestartsAmongOthersKeepsTheBound plays three hosts, of which one loses
// power while a team asks for over three times its quota, and comes back.
func TestHostThatRestartsAmongOthersKeepsTheBound(t *testing.T) {
	const (
		round = 50 * time.Millisecond
		heat  = 10 * time.Second
		lost  = 10500 * time.Millisecond
		back  = 14 * time.Second
		end   = 30 * time.Second
	)
	acme := team(1000, 500)
	hosts := map[ident.Host]*Limiter{"a": newLedger(), "b": newLedger(), "c": newLedger()}
	for name, l := range hosts {
		l.SetPeers(start, others(hosts, name), nil)
	}
	var uses []use
	incarnation := uint64(1)
	for at := time.Duration(0); at < end; at += round {
		down := at >= lost && at < back
		if at == back {
			hosts["c"] = NewLimiter(after(at), limits)
			hosts["c"].SetPeers(after(at), []ident.Host{"a", "b"}, nil)
			incarnation = 2
		}
		step := 50 * time.Millisecond
		if at > heat {
			step = 9 * time.Millisecond
		}
		for name, l := range hosts {
			for _, other := range others(hosts, name) {
				if down && (name == "c" || other == "c") {
					continue
				}
				told := uint64(1)
				if other == "c" {
					told = incarnation
				}
				l.MergeHost(after(at), other, told, hosts[other].HostUsage(after(at)))
			}
		}
		for _, name := range []ident.Host{"a", "b", "c"} {
			if !down || name != "c" {
				uses = append(uses, spend(hosts[name], acme, at, at+round, step)...)
			}
		}
	}
	if got, limit := mostOf(uses), bound(1000, 500); got > limit {
		t.Errorf("a window holds %v over all hosts, more than %v", got, limit)
	}
}

func TestRequestsBeforeTheRecallAreLetThroughAndCounted(t *testing.T) {
	l := NewLimiter(start, limits)
	acme := team(1000, 500)
	if !l.Admit(after(5*time.Millisecond), acme, 100).Allowed {
		t.Error("a request right after the start is refused for a quota that nobody knows of")
	}
	l.RestoreBusyTeams(after(20*time.Millisecond), nil)
	before := l.Admit(after(21*time.Millisecond), acme, 0).Used
	if calm := calmShare * bound(1000, 500); before > calm+100 {
		t.Errorf("after the recall %v count as used, more than %v", before, calm+100)
	}
	if !l.Admit(after(22*time.Millisecond), acme, 1000).Allowed {
		t.Error("a calm team is still taken for busy")
	}
}

func TestUseThatIsOnlyAssumedMakesNoTeamBusy(t *testing.T) {
	l := newLedger()
	acme := team(1000, 500)
	l.SetPeers(start, []ident.Host{"b", "c"}, nil)
	spend(l, acme, 0, 8*time.Second, 54*time.Millisecond)
	if busy := l.BusyTeams(after(8 * time.Second)); len(busy) != 0 {
		t.Errorf("a team is busy for what is assumed of two silent hosts: %v", busy)
	}
}

// TestManyHostsDoNotAllTakeWhatBecomesFree plays seven hosts that hear of each other
// every 20 ms, and a team that asks each of them for half of its quota.
func TestManyHostsDoNotAllTakeWhatBecomesFree(t *testing.T) {
	const round = 20 * time.Millisecond
	acme := team(1000, 500)
	hosts := make(map[ident.Host]*Limiter)
	for _, name := range []ident.Host{"a", "b", "c", "d", "e", "f", "g"} {
		hosts[name] = newLedger()
	}
	for name, l := range hosts {
		l.SetPeers(start, others(hosts, name), nil)
	}
	var uses []use
	for at := time.Duration(0); at < 30*time.Second; at += round {
		for _, l := range hosts {
			for offset := time.Duration(0); offset < round; offset += 10 * time.Millisecond {
				if l.Admit(after(at+offset), acme, 50).Allowed {
					uses = append(uses, use{at, 50})
				}
			}
		}
		for name, l := range hosts {
			for _, other := range others(hosts, name) {
				l.MergeHost(after(at+round), other, 1, hosts[other].HostUsage(after(at+round)))
			}
		}
	}
	if got, limit := mostOf(uses), bound(1000, 500); got > limit {
		t.Errorf("a window holds %v over all hosts, more than %v", got, limit)
	}
	if got := sum(uses); got < 30*1000 {
		t.Errorf("in 30 s only %v of the quota of %v could be used", got, 30*1000)
	}
}

// TestUseOfHostsThatStartTogetherIsCounted plays hosts that learn of each other some
// time after they have started.
func TestUseOfHostsThatStartTogetherIsCounted(t *testing.T) {
	const (
		meet  = time.Second
		round = 50 * time.Millisecond
	)
	acme := team(1000, 500)
	hosts := make(map[ident.Host]*Limiter)
	for _, name := range []ident.Host{"a", "b", "c"} {
		hosts[name] = NewLimiter(start, limits)
		hosts[name].RestoreBusyTeams(start, nil)
	}
	var uses []use
	for at := time.Duration(0); at < 10*time.Second; at += round {
		for name, l := range hosts {
			if at == meet {
				l.SetPeers(after(at), others(hosts, name), nil)
			}
			for _, other := range others(hosts, name) {
				if at >= meet {
					l.MergeHost(after(at), other, 1, hosts[other].HostUsage(after(at)))
				}
			}
			uses = append(uses, spend(l, acme, at, at+round, 5*time.Millisecond)...)
		}
	}
	slices.SortFunc(uses, func(a, b use) int { return cmp.Compare(a.at, b.at) })
	if got, limit := mostOf(uses), bound(1000, 500); got > limit {
		t.Errorf("a window holds %v over all hosts, more than %v", got, limit)
	}
}

// TestFirstRequestOfATeamOnAHostCountsTheOthersUse plays a team that uses its quota
// on one host and then comes to another, which has run for long.
func TestFirstRequestOfATeamOnAHostCountsTheOthersUse(t *testing.T) {
	a, b := newLedger(), newLedger()
	acme := team(1000, 500)
	a.SetPeers(start, []ident.Host{"b"}, nil)
	b.SetPeers(start, []ident.Host{"a"}, nil)
	var uses []use
	const round = 50 * time.Millisecond
	for at := time.Duration(0); at < 12*time.Second; at += round {
		a.MergeHost(after(at), "b", 1, b.HostUsage(after(at)))
		b.MergeHost(after(at), "a", 1, a.HostUsage(after(at)))
		asked := a
		if at >= 6*time.Second {
			asked = b
		}
		uses = append(uses, spend(asked, acme, at, at+round, time.Millisecond)...)
	}
	if got, limit := mostOf(uses), bound(1000, 500); got > limit {
		t.Errorf("a window holds %v over both hosts, more than %v", got, limit)
	}
}
