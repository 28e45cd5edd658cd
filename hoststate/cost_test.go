package hoststate

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/schedule"
)

// Guards against a head that differs from the decoded message, which would reject new messages
// or accept old ones.
func TestHeadIsReadWithoutDecoding(t *testing.T) {
	m := testMessage()
	data, err := encode(time.Now(), &m, 5, 300)
	if err != nil {
		t.Fatal(err)
	}
	if head, ok := readHead(data); !ok || head != (messageHead{host: "b", incarnation: 5, sequence: 300}) {
		t.Errorf("read %+v, %v", head, ok)
	}
	for n := range data {
		// A truncated message must not panic.
		readHead(data[:n])
	}
}

// Guards against a change of intervals in systems in which all hosts exchange their states:
// 4 ms, or 1 ms for each other host if that is longer.
func TestFullMeshKeepsItsIntervals(t *testing.T) {
	for hosts, want := range map[int]time.Duration{2: 4 * time.Millisecond, 16: 15 * time.Millisecond} {
		members := membersOf(hosts, 3)
		if got := NewPeerSet(members[0], members[1:]).nearInterval(false); got != want {
			t.Errorf("%d hosts: changes are sent every %v, want %v", hosts, got, want)
		}
	}
}

// Guards against reports that are older than what the headroom of a quota covers, 30 ms, when a request
// is decided on, which is preceded by a read unless there was one minReadInterval before, and
// against states of other cells for which the former build does not wait: it counts a host as
// missing after 250 ms, or 2.5 times 5 ms for each far peer, so one message may be lost.
func TestStatesOfDividedSystemsAreNotTooOld(t *testing.T) {
	for _, hosts := range []int{17, 60, 71, 295, 320} {
		for _, dataCentres := range []int{1, 3, 6} {
			members := membersOf(hosts, dataCentres)
			p := NewPeerSet(members[0], members[1:])
			if age := p.nearInterval(false) + minReadInterval; age > 30*time.Millisecond {
				t.Errorf("%d hosts in %d data centres: reports of the cell are %v old", hosts, dataCentres, age)
			}
			if age := 2*heartbeatInterval + readInterval; age >= 250*time.Millisecond {
				t.Errorf("a state after a lost one is read when the last is %v old", age)
			}
			missingAfter := max(250*time.Millisecond, time.Duration(len(p.far))*12500*time.Microsecond)
			if 5*p.farInterval()/2 > missingAfter {
				t.Errorf("%d hosts in %d data centres: far interval %v, missing after %v", hosts, dataCentres, p.farInterval(), missingAfter)
			}
		}
	}
}

// Guards against observations that decide something and are withheld, and against a single loss
// of a message that hides them.
func TestObservationsThatMatterAreSentTwice(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	base := schedule.Observation{Target: "t1", Successes: 5, Speeds: schedule.Speeds{EventInterval: 0.02}}
	cases := []struct {
		name   string
		change func(o *schedule.Observation)
		want   int
	}{
		{"nothing changed", func(*schedule.Observation) {}, 0},
		{"successes only", func(o *schedule.Observation) { o.Successes++ }, 0},
		{"ejected", func(o *schedule.Observation) { o.Ejected = true }, 2},
		{"failed", func(o *schedule.Observation) { o.Failures++ }, 2},
		{"slower", func(o *schedule.Observation) { o.Speeds.EventInterval *= 1.5 }, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var f observationFilter
			sent := func(ms int, o schedule.Observation) bool {
				s := schedule.State{Observed: true, Observations: []schedule.Observation{o}}
				f.apply(start.Add(time.Duration(ms)*time.Millisecond), &s)
				return s.Observed
			}
			sent(0, base)
			sent(10, base)
			changed, got := base, 0
			c.change(&changed)
			for ms := 250; ms < 1000; ms += 250 {
				if sent(ms, changed) {
					got++
				}
			}
			if got != c.want {
				t.Errorf("sent %d times, want %d", got, c.want)
			}
			if !sent(2000, changed) {
				t.Error("not sent after a second")
			}
		})
	}
}

// Guards against states that stay as old as at low load while requests wait: then changes are
// sent to the cell at the intervals of the former build, 1 ms for each near peer.
func TestWaitingRequestsShortenTheIntervals(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	members := membersOf(60, 1)
	p := NewPeerSet(members[0], members[1:])
	var pressure Pressure
	pressure.Record(now, &schedule.State{})
	if pressure.High(now) {
		t.Error("pressure is high without waiting requests")
	}
	m := testMessage()
	pressure.Record(now, &m.Schedule)
	pressure.Record(now.Add(time.Second), &schedule.State{})
	if !pressure.High(now.Add(time.Second)) || pressure.High(now.Add(time.Minute)) {
		t.Error("pressure does not last for a while after a state with waiting requests")
	}
	if got, want := p.nearInterval(true), time.Duration(len(p.near))*time.Millisecond; got != want {
		t.Errorf("changes are sent every %v while requests wait, want %v", got, want)
	}
}
