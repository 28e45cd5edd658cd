package retrybudget

import (
	"testing"
	"time"
)

func TestSharesOfAllHostsStayWithinTheBudget(t *testing.T) {
	limits := Limits{Ratio: 0.2, Allowance: 52, Window: 10 * time.Second}
	start := time.Unix(1_000_000, 0)
	repeats := 0
	for range 6 {
		b := New(limits)
		b.SetHostCount(6)
		for i := range 1000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			b.RecordRequest(now, "pool")
			if b.AllowRetry(now, "pool") {
				repeats++
			}
		}
	}
	if limit := 0.2*6000 + 52; float64(repeats) > limit {
		t.Errorf("%d repeats over all hosts, more than %v", repeats, limit)
	}
	if repeats < 900 {
		t.Errorf("only %d repeats", repeats)
	}
}

func TestOldRequestsDoNotCount(t *testing.T) {
	b := New(Limits{Ratio: 0.2, Allowance: 0, Window: time.Second})
	start := time.Unix(1_000_000, 0)
	for range 100 {
		b.RecordRequest(start, "pool")
	}
	if !b.AllowRetry(start.Add(500*time.Millisecond), "pool") {
		t.Error("no repeat within the window")
	}
	if b.AllowRetry(start.Add(5*time.Second), "pool") {
		t.Error("a repeat on the strength of requests long past")
	}
}
