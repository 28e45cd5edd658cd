package retrybudget

import (
	"testing"
	"time"
)

var (
	start      = time.Unix(1_000_000, 0)
	testLimits = Limits{Ratio: 0.2, Allowance: 52, Window: 10 * time.Second}
)

func TestAllHostsTogetherStayWithinTheBudget(t *testing.T) {
	retries := 0
	for range 6 {
		b := New(start.Add(-time.Minute), testLimits)
		b.SetHostCount(start.Add(-time.Minute), 6)
		for i := range 1000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			b.RecordRequest(now, "pool")
			if b.AllowRetry(now, "pool") {
				retries++
			}
		}
	}
	if limit := 0.2*6000 + 52; float64(retries) > limit {
		t.Errorf("all hosts together allowed %d retries, limit %v", retries, limit)
	}
	if retries < 900 {
		t.Errorf("all hosts together allowed only %d retries, want at least 900", retries)
	}
}

func TestRequestsOutsideTheWindowDoNotCount(t *testing.T) {
	b := New(start, Limits{Ratio: 0.2, Allowance: 0, Window: time.Second})
	for range 100 {
		b.RecordRequest(start, "pool")
	}
	if !b.AllowRetry(start.Add(500*time.Millisecond), "pool") {
		t.Error("retry refused although the requests are within the window")
	}
	if b.AllowRetry(start.Add(5*time.Second), "pool") {
		t.Error("retry allowed although the requests have left the window")
	}
}

// loadInterval is the time between two requests to a host, all of which want to be retried.
const loadInterval = 100 * time.Millisecond

// countRetries offers the load to hosts in turn and returns the retries allowed. The
// function each is called before each request.
func countRetries(hosts []*Budget, duration time.Duration, each func(now time.Time)) (requests, retries int) {
	for now := start; now.Before(start.Add(duration)); now = now.Add(loadInterval) {
		each(now)
		for _, b := range hosts {
			b.RecordRequest(now, "pool")
			requests++
			for b.AllowRetry(now, "pool") {
				retries++
			}
		}
	}
	return requests, retries
}

func TestRestartsOfHostsDoNotRenewTheAllowance(t *testing.T) {
	hosts := make([]*Budget, 6)
	lastStart := time.Time{}
	requests, retries := countRetries(hosts, testLimits.Window, func(now time.Time) {
		if now.Sub(lastStart) < 2*time.Second {
			return
		}
		lastStart = now
		for i := range hosts {
			hosts[i] = New(now, testLimits)
			hosts[i].SetHostCount(now, len(hosts))
		}
	})
	checkBudget(t, requests, retries)
}

func TestShrinkingSetOfHostsDoesNotEnlargeSharesAtOnce(t *testing.T) {
	hosts := newHosts(6)
	requests, retries := countRetries(hosts, testLimits.Window, func(now time.Time) {
		for _, b := range hosts {
			b.SetHostCount(now, 6-int(now.Sub(start)/(2*time.Second)))
		}
	})
	checkBudget(t, requests, retries)
}

func TestHostThatDoesNotKnowTheOthersHasNoAllowance(t *testing.T) {
	hosts := make([]*Budget, 6)
	for i := range hosts {
		hosts[i] = New(start.Add(-time.Minute), testLimits)
	}
	requests, retries := countRetries(hosts, testLimits.Window, func(time.Time) {})
	checkBudget(t, requests, retries)
}

func TestChangedWindowDoesNotRenewTheAllowance(t *testing.T) {
	hosts := newHosts(6)
	requests, retries := countRetries(hosts, testLimits.Window, func(now time.Time) {
		changed := testLimits
		changed.Window += now.Sub(start).Truncate(2 * time.Second)
		for _, b := range hosts {
			b.SetLimits(now, changed)
		}
	})
	checkBudget(t, requests, retries)
}

// newHosts returns hosts that have run for long.
func newHosts(count int) []*Budget {
	hosts := make([]*Budget, count)
	for i := range hosts {
		hosts[i] = New(start.Add(-time.Minute), testLimits)
		hosts[i].SetHostCount(start.Add(-time.Minute), count)
	}
	return hosts
}

func checkBudget(t *testing.T, requests, retries int) {
	t.Helper()
	limit := testLimits.Ratio*float64(requests) + testLimits.Allowance
	if float64(retries) > limit {
		t.Errorf("%d retries of %d requests, limit %v", retries, requests, limit)
	}
	if retries == 0 {
		t.Error("no retry was allowed")
	}
}

func TestBurstsNearlyAWindowApartStayWithinTheBudget(t *testing.T) {
	b := New(start.Add(-time.Minute), testLimits)
	b.SetHostCount(start.Add(-time.Minute), 1)
	b.RecordRequest(start, "pool")
	retries := 0
	for _, offset := range []time.Duration{950 * time.Millisecond, 10 * time.Second} {
		for b.AllowRetry(start.Add(offset), "pool") {
			retries++
		}
	}
	checkBudget(t, 1, retries)
}

func TestReservedRetriesCountUntilTheyAreDispatchedAndForAWindowAfter(t *testing.T) {
	b := newHosts(1)[0]
	for b.ReserveRetry(start, "pool") {
	}
	later := start.Add(2 * testLimits.Window)
	if b.AllowRetry(later, "pool") {
		t.Error("a retry was allowed while all are reserved")
	}
	b.DispatchReserved(later, "pool")
	if b.AllowRetry(later.Add(testLimits.Window), "pool") {
		t.Error("a retry was allowed a window after a reserved one was dispatched")
	}
	b.ReleaseReserved(later, "pool")
	if !b.AllowRetry(later, "pool") {
		t.Error("no retry was allowed after a reserved one was released")
	}
}

func TestRestartsAfterABurstStayWithinTheBudget(t *testing.T) {
	hosts := newHosts(6)
	requests, retries := 0, 0
	restart := start.Add(testLimits.Window)
	for now := start; now.Before(restart.Add(testLimits.Window)); now = now.Add(loadInterval) {
		for i := range hosts {
			if now.Equal(restart) {
				for hosts[i].AllowRetry(now, "pool") {
					retries++
				}
				hosts[i] = New(now, testLimits)
				hosts[i].SetHostCount(now, len(hosts))
			}
			hosts[i].RecordRequest(now, "pool")
			requests++
			for !now.Before(restart) && hosts[i].AllowRetry(now, "pool") {
				retries++
			}
		}
	}
	checkBudget(t, requests/2, retries)
}
