package membership

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/timeline"
)

func TestHeartbeatTimeouts(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence time.Duration
		want    State
	}{
		{"no heartbeat missing", 400 * time.Millisecond, Alive},
		{"two heartbeats missing", 1200 * time.Millisecond, Alive},
		{"three heartbeats missing", 1900 * time.Millisecond, Suspect},
		{"four heartbeats missing", 2600 * time.Millisecond, Dead},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation("a", "b")
			sim.advance(5 * time.Second)
			sim.frozen["b"] = true
			sim.advance(c.silence)
			if got := sim.stateAt("a", "b"); got != c.want {
				t.Errorf("b is %s, want %s", got, c.want)
			}
		})
	}
}

func TestSessionCloseAndDialRefusals(t *testing.T) {
	sim := newSimulation("a", "b")
	sim.advance(time.Second)
	detector := sim.detectors["a"]
	detector.handleSessionClosed("b")
	if got := sim.stateAt("a", "b"); got != Suspect {
		t.Errorf("after the session closed b is %s, want suspect", got)
	}
	detector.handleDialRefused("b", sim.now)
	if got := sim.stateAt("a", "b"); got != Suspect {
		t.Errorf("after one refusal b is %s, want suspect", got)
	}
	detector.handleDialRefused("b", sim.now)
	if got := sim.stateAt("a", "b"); got != Dead {
		t.Errorf("after two refusals b is %s, want dead", got)
	}
}

func TestHeartbeatResetsRefusals(t *testing.T) {
	sim := newSimulation("a", "b")
	sim.advance(time.Second)
	sim.detectors["a"].handleDialRefused("b", sim.now)
	sim.advance(time.Second)
	sim.detectors["a"].handleDialRefused("b", sim.now)
	if got := sim.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s, want alive", got)
	}
}

func TestRestartIsLossAndJoin(t *testing.T) {
	sim := newSimulation("a", "b")
	sim.advance(time.Second)
	old := sim.detectors["b"].self
	sim.advance(time.Second)
	sim.start("b")
	detector := sim.detectors["a"]
	if got := sim.stateAt("a", "b"); got != Alive {
		t.Fatalf("after its restart b is %s, want alive", got)
	}
	var kinds []timeline.Kind
	for _, e := range detector.takeEvents() {
		kinds = append(kinds, e.Kind)
	}
	want := []timeline.Kind{timeline.MemberJoined, timeline.MemberLost, timeline.MemberJoined}
	if len(kinds) != len(want) || kinds[1] != want[1] || kinds[2] != want[2] {
		t.Errorf("events are %v, want %v", kinds, want)
	}
	before := detector.members["b"].lastHeartbeat
	detector.handleHeartbeat(heartbeat{host: "b", incarnation: old.Incarnation, leaving: true}, sim.now.Add(time.Second))
	if detector.members["b"].lastHeartbeat != before || detector.members["b"].Leaving {
		t.Error("a heartbeat of the previous process was not ignored")
	}
}

func TestFrozenMemberMustPassProbation(t *testing.T) {
	sim := newSimulation("a", "b")
	sim.advance(time.Second)
	sim.frozen["b"] = true
	sim.advance(4 * time.Second)
	sim.frozen["b"] = false
	sim.advance(600 * time.Millisecond)
	if got := sim.stateAt("a", "b"); got != Dead {
		t.Errorf("right after the freeze b is %s, want dead", got)
	}
	sim.advance(2 * time.Second)
	if got := sim.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s after its probation, want alive", got)
	}
}

func TestProbationGrowsWithFlaps(t *testing.T) {
	sim := newSimulation("a", "b")
	sim.advance(time.Second)
	var previous time.Duration
	for i := range 4 {
		sim.frozen["b"] = true
		sim.advance(4 * time.Second)
		sim.frozen["b"] = false
		unfrozenAt := sim.now
		for sim.stateAt("a", "b") != Alive {
			sim.advance(simulationStep)
		}
		took := sim.now.Sub(unfrozenAt)
		if took <= previous {
			t.Errorf("return %d took %v, want longer than the previous one, %v", i, took, previous)
		}
		previous = took
	}
	sim.advance(flapRetention + time.Minute)
	sim.frozen["b"] = true
	sim.advance(4 * time.Second)
	sim.frozen["b"] = false
	sim.advance(3 * time.Second)
	if got := sim.stateAt("a", "b"); got != Alive {
		t.Errorf("after the flaps expired b is %s, want alive", got)
	}
}

func TestViewIsStaleAfterPause(t *testing.T) {
	sim := newSimulation("a", "b", "c")
	sim.advance(time.Second)
	sim.frozen["a"] = true
	sim.advance(10 * time.Second)
	sim.frozen["a"] = false
	sim.advance(simulationStep)
	v := sim.view("a")
	if !v.Stale {
		t.Error("the view is not stale after a pause")
	}
	if m, _ := v.Member("b"); m.State == Dead {
		t.Error("a host declared the others dead because of its own pause")
	}
	seen := false
	for _, e := range sim.detectors["a"].takeEvents() {
		seen = seen || e.Kind == timeline.PauseDetected
	}
	if !seen {
		t.Error("the pause was not recorded as an event")
	}
	sim.advance(2 * time.Second)
	if sim.view("a").Stale {
		t.Error("the view is still stale after heartbeats of the others")
	}
}

func TestBufferedHeartbeatsKeepViewStale(t *testing.T) {
	sim := newSimulation("a", "b")
	sim.advance(time.Second)
	detector := sim.detectors["a"]
	sim.now = sim.now.Add(10 * time.Second)
	detector.checkTimeouts(sim.now)
	for range 20 {
		detector.handleHeartbeat(heartbeat{host: "b", incarnation: sim.detectors["b"].self.Incarnation}, sim.now.Add(time.Millisecond))
	}
	detector.checkTimeouts(sim.now.Add(simulationStep))
	if !detector.view(1).Stale {
		t.Error("buffered heartbeats cleared the stale mark")
	}
}

func TestStaleClearsWithoutLivePeers(t *testing.T) {
	sim := newSimulation("a", "b")
	sim.advance(time.Second)
	sim.frozen["b"] = true
	sim.frozen["a"] = true
	sim.advance(10 * time.Second)
	sim.frozen["a"] = false
	sim.advance(4 * time.Second)
	if sim.view("a").Stale || sim.stateAt("a", "b") != Dead {
		t.Errorf("stale is %v, b is %s; want a view that is not stale and b dead", sim.view("a").Stale, sim.stateAt("a", "b"))
	}
}

func TestLeavingHostOwnsNoPool(t *testing.T) {
	sim := newSimulation("a", "b", "c")
	sim.detectors["b"].updateSelf(true, 0, sim.now)
	sim.advance(time.Second)
	for _, p := range testPools() {
		if sim.view("a").Owner("dc1", p) == "b" {
			t.Fatalf("b is leaving but owns %s", p)
		}
	}
	if d := sim.ownerDisagreement(); d != "" {
		t.Error(d)
	}
	sim.detectors["a"].updateSelf(true, 0, sim.now)
	sim.detectors["c"].updateSelf(true, 0, sim.now)
	sim.advance(time.Second)
	for _, p := range testPools() {
		if sim.view("a").Owner("dc1", p) == "" {
			t.Fatalf("no host owns %s while all are leaving", p)
		}
	}
}

func TestHostListDoesNotDeclareDead(t *testing.T) {
	sim := newSimulation("a", "b")
	sim.advance(time.Second)
	sim.detectors["a"].applyHostList(nil, sim.now)
	if got := sim.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s despite heartbeats, want alive", got)
	}
}

func TestHostList(t *testing.T) {
	detector := newDetector(member("a", "dc1", 1), newTiming(config.Timing{}))
	now := time.Unix(1000, 0)
	list := []storage.HostEntry{
		{Name: "a", Role: storage.RoleEntry, DataCentre: "dc1", Address: "a:1", State: storage.HostLive},
		{Name: "b", Role: storage.RoleEntry, DataCentre: "dc1", Address: "b:1", State: storage.HostLeaving},
		{Name: "t", Role: storage.RoleTarget, DataCentre: "dc1", Address: "t:1", State: storage.HostLive},
	}
	detector.applyHostList(list, now)
	v := detector.view(1)
	if len(v.Members) != 2 {
		t.Fatalf("members are %v, want a and b", v.Members)
	}
	b, _ := v.Member("b")
	if b.PeerAddress != "b:1" || !b.Leaving || b.State != Suspect {
		t.Errorf("b is %+v, want suspect, leaving, at b:1", b)
	}
	for i := range 40 {
		detector.checkTimeouts(now.Add(time.Duration(i) * simulationStep))
	}
	if b, _ := detector.view(1).Member("b"); b.State != Dead {
		t.Errorf("b, from which no heartbeat came, is %s, want dead", b.State)
	}
	detector.handleHello(member("b", "dc1", 5), now.Add(5*time.Second))
	if b, _ := detector.view(1).Member("b"); b.State != Alive {
		t.Errorf("b, after its first message, is %s, want alive at once", b.State)
	}
}

func TestDeadMembersAreRemovedAfterRetention(t *testing.T) {
	sim := newSimulation("a", "b", "c")
	sim.advance(time.Second)
	sim.detectors["a"].applyHostList([]storage.HostEntry{{Name: "c", Role: storage.RoleEntry, Address: "c:1"}}, sim.now)
	sim.frozen["b"], sim.frozen["c"] = true, true
	sim.advance(deadMemberRetention + 5*time.Second)
	if _, ok := sim.view("a").Member("b"); ok {
		t.Error("b is still in the view")
	}
	if _, ok := sim.view("a").Member("c"); !ok {
		t.Error("c was removed although the host list contains it")
	}
}

func TestRemoteMembersFollowTheirDataCentre(t *testing.T) {
	now := time.Unix(1000, 0)
	detector := newDetector(member("a", "dc1", 1), newTiming(config.Timing{}))
	at := func(d time.Duration) time.Time { return now.Add(d) }
	connected, other := member("x", "dc2", 1), member("y", "dc2", 1)
	state := func(h ident.Host) State {
		m, _ := detector.view(1).Member(h)
		return m.State
	}
	detector.handleHello(connected, now)
	detector.handleMemberList("x", []memberReport{{Member: other}}, now)
	receiveHeartbeats := func(from, to time.Duration) {
		for d := from; d < to; d += simulationStep {
			detector.handleHeartbeat(heartbeat{host: "x", incarnation: 1}, at(d))
			detector.checkTimeouts(at(d))
		}
	}
	receiveHeartbeats(0, 20*time.Second)
	if got := state("y"); got != Alive {
		t.Fatalf("y, reported alive by x, is %s, want alive", got)
	}
	detector.handleMemberList("x", []memberReport{{Member: other, dead: true}}, at(20*time.Second))
	if got := state("y"); got != Dead {
		t.Errorf("y, reported dead by x, is %s, want dead", got)
	}
	detector.handleMemberList("x", []memberReport{{Member: other}}, at(21*time.Second))
	if got := state("y"); got != Alive {
		t.Errorf("y, reported alive again, is %s, want alive", got)
	}
	for d := 21 * time.Second; d < 30*time.Second; d += simulationStep {
		detector.checkTimeouts(at(d))
	}
	if state("x") != Dead || state("y") != Dead {
		t.Errorf("x is %s and y is %s after the partition, want both dead", state("x"), state("y"))
	}
}

func TestLocalMemberListIsNotEvidence(t *testing.T) {
	sim := newSimulation("a", "b", "c")
	sim.advance(time.Second)
	deadReport := memberReport{Member: sim.detectors["c"].self, dead: true}
	sim.frozen["c"] = true
	sim.advance(1900 * time.Millisecond)
	sim.detectors["a"].handleMemberList("b", []memberReport{deadReport}, sim.now)
	if got := sim.stateAt("a", "c"); got != Suspect {
		t.Errorf("c is %s after a report from b, want suspect", got)
	}
}

func TestPlannedRestartNeedsNoProbation(t *testing.T) {
	sim := newSimulation("a", "b")
	sim.advance(time.Second)
	sim.detectors["b"].updateSelf(true, 0, sim.now)
	sim.advance(time.Second)
	sim.detectors["b"] = nil
	sim.advance(4 * time.Second)
	if got := sim.stateAt("a", "b"); got != Dead {
		t.Fatalf("after its stop b is %s, want dead", got)
	}
	sim.start("b")
	if got := sim.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s after a planned restart, want alive at once", got)
	}
}
