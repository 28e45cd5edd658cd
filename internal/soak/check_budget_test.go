package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// newLoad returns a load of requests and retries at the given offsets.
func newLoad(requests, retries []time.Duration) *serviceLoad {
	l := &serviceLoad{}
	for _, offset := range requests {
		l.requests = append(l.requests, baseTime.Add(offset))
	}
	for _, offset := range retries {
		l.retries = append(l.retries, baseTime.Add(offset))
	}
	return l
}

func TestRetriesAreCountedInTheWindowThatBegins(t *testing.T) {
	l := newLoad(nil, []time.Duration{0, time.Second, retryWindow, retryWindow + 1})
	if retries, _ := l.retriesAndBound(baseTime); retries != 3 {
		t.Errorf("%d retries counted, want 3", retries)
	}
	if retries, _ := l.retriesAndBound(baseTime.Add(1)); retries != 3 {
		t.Errorf("%d retries counted after the first, want 3", retries)
	}
}

func TestBudgetCountsRequestsOfTheBusiestWindow(t *testing.T) {
	offsets := make([]time.Duration, 0, 50)
	for i := range 50 {
		offsets = append(offsets, time.Duration(i))
	}
	l := newLoad(offsets, nil)
	for _, from := range []time.Duration{0, retryWindow / 2, retryWindow} {
		if _, bound := l.retriesAndBound(baseTime.Add(from)); bound != 50*retryRatio+retryAllowance {
			t.Errorf("bound %v for the window %v after the requests, want %v", bound, from, 50*retryRatio+retryAllowance)
		}
	}
	if _, bound := l.retriesAndBound(baseTime.Add(2 * retryWindow)); bound != retryAllowance {
		t.Errorf("bound %v long after the requests, want the allowance", bound)
	}
}

// repeatedCalls returns calls of which each reaches the target twice, one of them rejected.
func repeatedCalls(t *testing.T, n int) *runner {
	t.Helper()
	calls := make([]*call, 0, n)
	for i := range n {
		calls = append(calls, newCall(fmt.Sprint("r-", i), platformtest.PathRead, 0, ""))
	}
	r := newTestRunner(t, calls...)
	r.system.targets[0].service = platformtest.Service
	for _, c := range calls {
		c.started = time.Now()
		r.sendToTarget(t, c.request.ID, 1)
	}
	r.system.targets[0].fake.SetRejecting(true)
	for _, c := range calls {
		if reply := sendTo(r.system.targets[0], c.request.ID); !reply.Refused() {
			t.Fatalf("stand-in target replied %+v", reply)
		}
	}
	return r
}

func TestMoreRetriesThanAllowedAreDetected(t *testing.T) {
	r := repeatedCalls(t, retryAllowance)
	checkViolations(t, r.checkRetryBudget(), 0)
	// Of 80 retries of 80 requests 68 are allowed. Only windows that begin with one of the
	// first 12 or end with one of the last 12 hold more.
	r = repeatedCalls(t, 80)
	checkViolations(t, r.checkRetryBudget(), 24)
}
