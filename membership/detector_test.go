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
			w := newSimulation("a", "b")
			w.advance(5 * time.Second)
			w.frozen["b"] = true
			w.advance(c.silence)
			if got := w.stateAt("a", "b"); got != c.want {
				t.Errorf("b is %s, want %s", got, c.want)
			}
		})
	}
}

func TestSessionCloseAndDialRefusals(t *testing.T) {
	w := newSimulation("a", "b")
	w.advance(time.Second)
	s := w.detectors["a"]
	s.handleSessionClosed("b")
	if got := w.stateAt("a", "b"); got != Suspect {
		t.Errorf("after the session's end b is %s, want suspect", got)
	}
	s.handleDialRefused("b", w.now)
	if got := w.stateAt("a", "b"); got != Suspect {
		t.Errorf("after one refusal b is %s, want suspect", got)
	}
	s.handleDialRefused("b", w.now)
	if got := w.stateAt("a", "b"); got != Dead {
		t.Errorf("after two refusals b is %s, want dead", got)
	}
}

func TestHeartbeatResetsRefusals(t *testing.T) {
	w := newSimulation("a", "b")
	w.advance(time.Second)
	w.detectors["a"].handleDialRefused("b", w.now)
	w.advance(time.Second)
	w.detectors["a"].handleDialRefused("b", w.now)
	if got := w.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s, want alive", got)
	}
}

func TestRestartIsLossAndJoin(t *testing.T) {
	w := newSimulation("a", "b")
	w.advance(time.Second)
	old := w.detectors["b"].self
	w.advance(time.Second)
	w.start("b")
	s := w.detectors["a"]
	if got := w.stateAt("a", "b"); got != Alive {
		t.Fatalf("the restarted b is %s, want alive", got)
	}
	var kinds []timeline.Kind
	for _, e := range s.takeEvents() {
		kinds = append(kinds, e.Kind)
	}
	want := []timeline.Kind{timeline.MemberJoined, timeline.MemberLost, timeline.MemberJoined}
	if len(kinds) != len(want) || kinds[1] != want[1] || kinds[2] != want[2] {
		t.Errorf("events are %v, want %v", kinds, want)
	}
	before := s.members["b"].lastHeartbeat
	s.handleHeartbeat(heartbeat{host: "b", incarnation: old.Incarnation, leaving: true}, w.now.Add(time.Second))
	if s.members["b"].lastHeartbeat != before || s.members["b"].Leaving {
		t.Error("a heartbeat of the earlier process was counted")
	}
}

func TestFrozenMemberMustPassProbation(t *testing.T) {
	w := newSimulation("a", "b")
	w.advance(time.Second)
	w.frozen["b"] = true
	w.advance(4 * time.Second)
	w.frozen["b"] = false
	w.advance(600 * time.Millisecond)
	if got := w.stateAt("a", "b"); got != Dead {
		t.Errorf("right after waking b is %s, want dead", got)
	}
	w.advance(2 * time.Second)
	if got := w.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s after steady heartbeats, want alive", got)
	}
}

func TestProbationGrowsWithFlaps(t *testing.T) {
	w := newSimulation("a", "b")
	w.advance(time.Second)
	var last time.Duration
	for i := range 4 {
		w.frozen["b"] = true
		w.advance(4 * time.Second)
		w.frozen["b"] = false
		woke := w.now
		for w.stateAt("a", "b") != Alive {
			w.advance(simulationStep)
		}
		took := w.now.Sub(woke)
		if took <= last {
			t.Errorf("return %d took %v, not longer than the one before, %v", i, took, last)
		}
		last = took
	}
	w.advance(flapRetention + time.Minute)
	w.frozen["b"] = true
	w.advance(4 * time.Second)
	w.frozen["b"] = false
	w.advance(3 * time.Second)
	if got := w.stateAt("a", "b"); got != Alive {
		t.Errorf("long after the flaps b is %s, want alive", got)
	}
}

func TestViewIsStaleAfterPause(t *testing.T) {
	w := newSimulation("a", "b", "c")
	w.advance(time.Second)
	w.frozen["a"] = true
	w.advance(10 * time.Second)
	w.frozen["a"] = false
	w.advance(simulationStep)
	v := w.view("a")
	if !v.Stale {
		t.Error("the view of a woken host is not marked")
	}
	if m, _ := v.Member("b"); m.State == Dead {
		t.Error("a woken host declared the others dead for its own silence")
	}
	seen := false
	for _, e := range w.detectors["a"].takeEvents() {
		seen = seen || e.Kind == timeline.PauseSeen
	}
	if !seen {
		t.Error("no event for the pause")
	}
	w.advance(2 * time.Second)
	if w.view("a").Stale {
		t.Error("the view is still marked after the others were heard")
	}
}

func TestBufferedHeartbeatsKeepViewStale(t *testing.T) {
	w := newSimulation("a", "b")
	w.advance(time.Second)
	s := w.detectors["a"]
	w.now = w.now.Add(10 * time.Second)
	s.checkTimeouts(w.now)
	for range 20 {
		s.handleHeartbeat(heartbeat{host: "b", incarnation: w.detectors["b"].self.Incarnation}, w.now.Add(time.Millisecond))
	}
	s.checkTimeouts(w.now.Add(simulationStep))
	if !s.view(1).Stale {
		t.Error("heartbeats from the buffer restored trust")
	}
}

func TestStaleClearsWithoutLivePeers(t *testing.T) {
	w := newSimulation("a", "b")
	w.advance(time.Second)
	w.frozen["b"] = true
	w.frozen["a"] = true
	w.advance(10 * time.Second)
	w.frozen["a"] = false
	w.advance(4 * time.Second)
	if w.view("a").Stale || w.stateAt("a", "b") != Dead {
		t.Errorf("paused %v, b is %s; want a trusted view without b", w.view("a").Stale, w.stateAt("a", "b"))
	}
}

func TestLeavingHostOwnsNoPool(t *testing.T) {
	w := newSimulation("a", "b", "c")
	w.detectors["b"].updateSelf(true, 0, w.now)
	w.advance(time.Second)
	for _, p := range pools() {
		if w.view("a").Owner("dc1", p) == "b" {
			t.Fatalf("the leaving b owns %s", p)
		}
	}
	if d := w.ownerDisagreement(); d != "" {
		t.Error(d)
	}
	w.detectors["a"].updateSelf(true, 0, w.now)
	w.detectors["c"].updateSelf(true, 0, w.now)
	w.advance(time.Second)
	for _, p := range pools() {
		if w.view("a").Owner("dc1", p) == "" {
			t.Fatalf("nobody owns %s while all are leaving", p)
		}
	}
}

func TestHostListDoesNotDeclareDead(t *testing.T) {
	w := newSimulation("a", "b")
	w.advance(time.Second)
	w.detectors["a"].applyHostList(nil, w.now)
	if got := w.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s though heard, want alive", got)
	}
}

func TestHostList(t *testing.T) {
	s := newDetector(member("a", "dc1", 1), newTiming(config.Timing{}))
	now := time.Unix(1000, 0)
	list := []storage.HostEntry{
		{Name: "a", Role: storage.RoleEntry, DataCentre: "dc1", Address: "a:1", State: storage.HostLive},
		{Name: "b", Role: storage.RoleEntry, DataCentre: "dc1", Address: "b:1", State: storage.HostLeaving},
		{Name: "t", Role: storage.RoleTarget, DataCentre: "dc1", Address: "t:1", State: storage.HostLive},
	}
	s.applyHostList(list, now)
	v := s.view(1)
	if len(v.Members) != 2 {
		t.Fatalf("members are %v, want a and b", v.Members)
	}
	b, _ := v.Member("b")
	if b.PeerAddress != "b:1" || !b.Leaving || b.State != Suspect {
		t.Errorf("b is %+v, want suspect, leaving, at b:1", b)
	}
	for i := range 40 {
		s.checkTimeouts(now.Add(time.Duration(i) * simulationStep))
	}
	if b, _ := s.view(1).Member("b"); b.State != Dead {
		t.Errorf("b, never heard, is %s, want dead", b.State)
	}
	s.handleHello(member("b", "dc1", 5), now.Add(5*time.Second))
	if b, _ := s.view(1).Member("b"); b.State != Alive {
		t.Errorf("b, heard for the first time, is %s, want alive at once", b.State)
	}
}

func TestDeadMembersAreRemovedAfterRetention(t *testing.T) {
	w := newSimulation("a", "b", "c")
	w.advance(time.Second)
	w.detectors["a"].applyHostList([]storage.HostEntry{{Name: "c", Role: storage.RoleEntry, Address: "c:1"}}, w.now)
	w.frozen["b"], w.frozen["c"] = true, true
	w.advance(deadMemberRetention + 5*time.Second)
	if _, ok := w.view("a").Member("b"); ok {
		t.Error("b is still known")
	}
	if _, ok := w.view("a").Member("c"); !ok {
		t.Error("c is forgotten though the host list has it")
	}
}

func TestRemoteMembersFollowTheirDataCentre(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newDetector(member("a", "dc1", 1), newTiming(config.Timing{}))
	at := func(d time.Duration) time.Time { return now.Add(d) }
	linked, other := member("x", "dc2", 1), member("y", "dc2", 1)
	state := func(h ident.Host) State {
		m, _ := s.view(1).Member(h)
		return m.State
	}
	s.handleHello(linked, now)
	s.handleMemberList("x", []memberReport{{Member: other}}, now)
	hear := func(from, to time.Duration) {
		for d := from; d < to; d += simulationStep {
			s.handleHeartbeat(heartbeat{host: "x", incarnation: 1}, at(d))
			s.checkTimeouts(at(d))
		}
	}
	hear(0, 20*time.Second)
	if got := state("y"); got != Alive {
		t.Fatalf("y, counted by x, is %s, want alive", got)
	}
	s.handleMemberList("x", []memberReport{{Member: other, dead: true}}, at(20*time.Second))
	if got := state("y"); got != Dead {
		t.Errorf("y, lost by x, is %s, want dead", got)
	}
	s.handleMemberList("x", []memberReport{{Member: other}}, at(21*time.Second))
	if got := state("y"); got != Alive {
		t.Errorf("y, counted again, is %s, want alive", got)
	}
	for d := 21 * time.Second; d < 30*time.Second; d += simulationStep {
		s.checkTimeouts(at(d))
	}
	if state("x") != Dead || state("y") != Dead {
		t.Errorf("x is %s and y is %s after the cut, want both dead", state("x"), state("y"))
	}
}

func TestLocalMemberListIsNotEvidence(t *testing.T) {
	w := newSimulation("a", "b", "c")
	w.advance(time.Second)
	gone := memberReport{Member: w.detectors["c"].self, dead: true}
	w.frozen["c"] = true
	w.advance(1900 * time.Millisecond)
	w.detectors["a"].handleMemberList("b", []memberReport{gone}, w.now)
	if got := w.stateAt("a", "c"); got != Suspect {
		t.Errorf("c is %s by hearsay, want suspect", got)
	}
}

func TestPlannedRestartNeedsNoProbation(t *testing.T) {
	w := newSimulation("a", "b")
	w.advance(time.Second)
	w.detectors["b"].updateSelf(true, 0, w.now)
	w.advance(time.Second)
	w.detectors["b"] = nil
	w.advance(4 * time.Second)
	if got := w.stateAt("a", "b"); got != Dead {
		t.Fatalf("the stopped b is %s, want dead", got)
	}
	w.start("b")
	if got := w.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s after a planned restart, want alive at once", got)
	}
}
