package hoststate

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/schedule"
)

// Guards against states that fill the link of a small host: 15 far peers that get 1,400 bytes each
// 100 ms, beside 7 near ones that get as much each 14 ms, would take three quarters of 10 Mbit/s. All
// states together may take a fifth, after the burst that the budget allows.
func TestAllStatesTakeAFifthOfTheLink(t *testing.T) {
	const (
		linkMbps, near, far, bytes = 10, 7, 15, 1400 + datagramOverhead
		seconds                    = 10
	)
	start := time.Unix(1_000_000, 0)
	e := New(Options{LinkMbps: linkMbps})
	var total float64
	nextNear := start
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(time.Millisecond) {
		if now.Before(nextNear) {
			continue
		}
		e.budget.spend(now, near*bytes)
		total += near * bytes
		nextNear = now.Add(max(14*time.Millisecond, e.pacer.delay(near*bytes)))
		if e.farDue(now, 86*time.Millisecond) {
			if interval := now.Sub(e.lastFar); e.lastFar.After(start) && interval > 250*time.Millisecond {
				t.Errorf("far peers got nothing for %v", interval)
			}
			e.lastFar, e.farBytes = now, far*bytes
			e.budget.spend(now, far*bytes)
			total += far * bytes
		}
	}
	fifth := 0.2 * linkMbps * bytesPerMegabit
	if total > fifth*(seconds+budgetBurst.Seconds()) {
		t.Errorf("states take %.0f bytes a second, want at most %.0f", total/seconds, fifth)
	}
}

// Guards against a limit where the link is not known, and against far peers that wait although there
// is room.
func TestStatesDoNotWaitWithoutNeed(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, linkMbps := range []float64{0, 200} {
		e := New(Options{LinkMbps: linkMbps})
		e.lastFar = start
		e.budget.spend(start, 50_000)
		if !e.farDue(start.Add(100*time.Millisecond), 86*time.Millisecond) {
			t.Errorf("link of %v Mbit/s: far peers wait", linkMbps)
		}
	}
}

// Guards against the loss of what a shortened message leaves out, and against one that is as large as
// the whole message.
func TestShortenedMessageLeavesTheRestForTheNext(t *testing.T) {
	var c Coalescer
	crashes := []quarantine.Crash{crashOf(time.Unix(1_000_000, 0), 1, -1)}
	loads := []schedule.TargetLoad{{Target: "t1", Running: 1}}
	c.Add(&Message{Schedule: schedule.State{Crashes: crashes, Loads: loads, Observed: true, Observations: []schedule.Observation{{Target: "t1"}}}})
	short := c.TakeShort()
	if len(short.Schedule.Crashes) > 0 || short.Schedule.Observed || len(short.Schedule.Loads) != 1 {
		t.Errorf("the shortened message is %+v", short.Schedule)
	}
	c.Add(&Message{})
	if rest := c.Take(); len(rest.Schedule.Crashes) != 1 || !rest.Schedule.Observed {
		t.Errorf("the next message is %+v, want the crash and the observation", rest.Schedule)
	}
}
