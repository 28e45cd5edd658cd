package retrybudget

import (
	"testing"
	"time"
)

func TestAllHostsTogetherStayWithinTheBudget(t *testing.T) {
	limits := Limits{Ratio: 0.2, Allowance: 52, Window: 10 * time.Second}
	start := time.Unix(1_000_000, 0)
	retries := 0
	for range 6 {
		b := New(limits)
		b.SetHostCount(6)
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
	b := New(Limits{Ratio: 0.2, Allowance: 0, Window: time.Second})
	start := time.Unix(1_000_000, 0)
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
