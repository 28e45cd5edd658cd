package schedule

import (
	"testing"
	"time"
)

// TestJumpOfTheSharedClockEndsReservations guards against a Retry-After that points to a time which
// other hosts understand differently.
func TestJumpOfTheSharedClockEndsReservations(t *testing.T) {
	var jump int64
	c := sharedClock{read: func(now time.Time) int64 { return now.UnixMilli() + jump }}
	if got := c.now(at(0)); got != at(0).UnixMilli() {
		t.Errorf("got %d, want the time of the clock", got)
	}
	jump = 500
	if got := c.now(at(10)); got != 0 {
		t.Errorf("got %d after a jump, want 0", got)
	}
	later := at(10).Add(clockSettleTime)
	if got := c.now(later); got != later.UnixMilli()+jump {
		t.Errorf("got %d after the clock has settled, want its time", got)
	}
	if got := new(sharedClock).now(at(0)); got != 0 {
		t.Errorf("got %d without a clock, want 0", got)
	}
}
