package membership

import (
	"testing"
	"time"
)

const testInterval = 500 * time.Millisecond

// simulateSchedule runs a heartbeat schedule from start for d and returns the times
// and actions of the ticks at which heartbeats are due. The wall clock jumps by jump
// halfway.
func simulateSchedule(start time.Time, d, jump time.Duration) (times []time.Time, actions []tickAction) {
	schedule := heartbeatSchedule{interval: testInterval, lastHeartbeat: start}
	var offset time.Duration
	for now := start; now.Sub(start) < d; {
		now = now.Add(schedule.untilNextTick(now.Add(offset)))
		if action := schedule.actionAt(now.Add(offset), now); action != sendNone {
			times, actions = append(times, now), append(actions, action)
		}
		if now.Sub(start) > d/2 {
			offset = jump
		}
	}
	return times, actions
}

func TestSchedulesAlignAcrossHosts(t *testing.T) {
	begin := time.Unix(1000, 0)
	a, _ := simulateSchedule(begin.Add(123*time.Millisecond), 5*time.Second, 0)
	b, _ := simulateSchedule(begin.Add(399*time.Millisecond), 5*time.Second, 0)
	if len(a) < 9 || len(b) < 9 {
		t.Fatalf("only %d and %d heartbeats in 5 s", len(a), len(b))
	}
	for i := range min(len(a), len(b)) {
		if !a[i].Equal(b[i]) {
			t.Fatalf("heartbeat %d is at %v on one host and at %v on the other", i, a[i], b[i])
		}
	}
}

func TestClockJumpSkipsNoHeartbeat(t *testing.T) {
	for _, jump := range []time.Duration{
		0, testInterval / 2, -testInterval / 2, testInterval / 3, time.Hour, -time.Hour,
	} {
		t.Run(jump.String(), func(t *testing.T) {
			start := time.Unix(1000, 1)
			times, _ := simulateSchedule(start, 10*time.Second, jump)
			last := start
			for _, at := range times {
				if gap := at.Sub(last); gap > 2*testInterval {
					t.Errorf("%v between two heartbeats", gap)
				}
				last = at
			}
			if len(times) < 17 {
				t.Errorf("only %d heartbeats in 10 s", len(times))
			}
		})
	}
}

func TestRemoteHostsGetEverySecondHeartbeat(t *testing.T) {
	_, actions := simulateSchedule(time.Unix(1000, 1), 20*time.Second, 0)
	counts := make(map[tickAction]int)
	for _, action := range actions {
		counts[action]++
	}
	if counts[sendAllHosts] != 20 || counts[sendLocalDataCentre] != 20 {
		t.Errorf("actions are %v, want 20 of each kind of heartbeat in 20 s", counts)
	}
}
