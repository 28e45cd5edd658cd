package hoststate

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// Guards against states that fill the link of a host, 10 Mbit/s, when a quarter of 90 targets
// crash at once under load: then requests, connections and cancellations wait for states. The
// reports of crashes may take a tenth of the link.
func TestReportsOfManyCrashesLeaveRoomOnTheLink(t *testing.T) {
	const (
		targets, crashed, receivers = 90, 22, 21
		tenthOfLink                 = 10_000_000 / 8 / 10
		seconds                     = 3
	)
	start := time.Unix(1_000_000, 0)
	s := schedulerAfterCrashes(start, targets, crashed)
	total := 0
	for ms := 0; ms < seconds*1000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%50 == 0 {
			// Another host reports that requests were served, which clears them.
			s.MergeCrashes(now, []quarantine.Crash{crashOf(start, ms/50%crashed, ms/50/crashed)})
		}
		state := s.LocalState(now)
		with, without := encodedBytes(t, now, state), encodedBytes(t, now, schedule.State{})
		total += (with - without) * receivers
	}
	if perSecond := total / seconds; perSecond > tenthOfLink {
		t.Errorf("reports of crashes take %d bytes a second, want at most %d", perSecond, tenthOfLink)
	}
}

// encodedBytes returns the size of a message with only the crashes of a state.
func encodedBytes(t *testing.T, now time.Time, s schedule.State) int {
	t.Helper()
	data, err := encode(now, &Message{Host: "h", Schedule: schedule.State{Crashes: s.Crashes}}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

func schedulerAfterCrashes(now time.Time, targets, crashed int) *schedule.Scheduler {
	s := schedule.New(schedule.Options{Host: "h", DataCentre: "near"})
	snapshot := &route.TargetSnapshot{Targets: make(map[ident.Target]route.Target)}
	for i := range targets {
		name := targetName(i)
		snapshot.Targets[name] = route.Target{Name: name, Pool: "p", DataCentre: "near", Slots: 6}
	}
	pools := map[ident.Pool]*route.Pool{"p": {Name: "p", Engine: &route.Engine{KVCacheTokens: 100_000}}}
	s.Configure(now, pools, snapshot)
	for i := range crashed {
		s.MergeCrashes(now, []quarantine.Crash{crashOf(now, i, -1)})
	}
	return s
}

func targetName(i int) ident.Target { return ident.Target(fmt.Sprintf("i-%010d", i)) }

// crashOf returns the crash of a target that ran 12 digests, of which the given one was served
// since.
func crashOf(at time.Time, i, served int) quarantine.Crash {
	c := quarantine.Crash{Target: targetName(i), Process: at.UnixMilli(), At: at}
	for n := range 12 {
		c.Runs = append(c.Runs, quarantine.Run{
			Digest: quarantine.Digest(1 + i*100 + n), Duration: 700 * time.Millisecond, Cleared: n == served,
		})
	}
	return c
}

// Guards against a far peer that misses a crash because the next state reports only another.
func TestCoalescedMessageHasTheCrashesOfAllStates(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	var c Coalescer
	for i := range 3 {
		c.Add(&Message{Schedule: schedule.State{Crashes: []quarantine.Crash{crashOf(at, i%2, i)}}})
	}
	known := quarantine.NewTracker()
	for _, crash := range c.Take().Schedule.Crashes {
		known.Merge(at, crash)
	}
	crashes := known.Crashes(at)
	if len(crashes) != 2 || !crashes[0].Runs[0].Cleared || !crashes[0].Runs[2].Cleared || !crashes[1].Runs[1].Cleared {
		t.Errorf("got %+v, want two crashes with the runs that any state reported as served", crashes)
	}
}
