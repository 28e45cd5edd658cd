package membership

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/timeline"
)

func TestSilence(t *testing.T) {
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
			w := newWorld("a", "b")
			w.run(5 * time.Second)
			w.frozen["b"] = true
			w.run(c.silence)
			if got := w.stateAt("a", "b"); got != c.want {
				t.Errorf("b is %s, want %s", got, c.want)
			}
		})
	}
}

func TestDirectEvidence(t *testing.T) {
	w := newWorld("a", "b")
	w.run(time.Second)
	s := w.states["a"]
	s.closed("b")
	if got := w.stateAt("a", "b"); got != Suspect {
		t.Errorf("after the session's end b is %s, want suspect", got)
	}
	s.refused("b", w.now)
	if got := w.stateAt("a", "b"); got != Suspect {
		t.Errorf("after one refusal b is %s, want suspect", got)
	}
	s.refused("b", w.now)
	if got := w.stateAt("a", "b"); got != Dead {
		t.Errorf("after two refusals b is %s, want dead", got)
	}
}

func TestRefusalsAreForgottenWhenHeard(t *testing.T) {
	w := newWorld("a", "b")
	w.run(time.Second)
	w.states["a"].refused("b", w.now)
	w.run(time.Second)
	w.states["a"].refused("b", w.now)
	if got := w.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s, want alive", got)
	}
}

func TestRestartedMember(t *testing.T) {
	w := newWorld("a", "b")
	w.run(time.Second)
	old := w.states["b"].self
	w.run(time.Second)
	w.start("b")
	s := w.states["a"]
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
	before := s.members["b"].heard
	s.heard(beat{host: "b", incarnation: old.Incarnation, leaving: true}, w.now.Add(time.Second))
	if s.members["b"].heard != before || s.members["b"].Leaving {
		t.Error("a heartbeat of the earlier process was counted")
	}
}

func TestFrozenMemberMustBeHeardSteadily(t *testing.T) {
	w := newWorld("a", "b")
	w.run(time.Second)
	w.frozen["b"] = true
	w.run(4 * time.Second)
	w.frozen["b"] = false
	w.run(600 * time.Millisecond)
	if got := w.stateAt("a", "b"); got != Dead {
		t.Errorf("right after waking b is %s, want dead", got)
	}
	w.run(2 * time.Second)
	if got := w.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s after steady heartbeats, want alive", got)
	}
}

func TestFlappingGrowsTheProbation(t *testing.T) {
	w := newWorld("a", "b")
	w.run(time.Second)
	var last time.Duration
	for i := range 4 {
		w.frozen["b"] = true
		w.run(4 * time.Second)
		w.frozen["b"] = false
		woke := w.now
		for w.stateAt("a", "b") != Alive {
			w.run(step)
		}
		took := w.now.Sub(woke)
		if took <= last {
			t.Errorf("return %d took %v, not longer than the one before, %v", i, took, last)
		}
		last = took
	}
	w.run(flapMemory + time.Minute)
	w.frozen["b"] = true
	w.run(4 * time.Second)
	w.frozen["b"] = false
	w.run(3 * time.Second)
	if got := w.stateAt("a", "b"); got != Alive {
		t.Errorf("long after the flaps b is %s, want alive", got)
	}
}

func TestPausedHostDoesNotTrustItsView(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.run(time.Second)
	w.frozen["a"] = true
	w.run(10 * time.Second)
	w.frozen["a"] = false
	w.run(step)
	v := w.view("a")
	if !v.Stale {
		t.Error("the view of a woken host is not marked")
	}
	if m, _ := v.Member("b"); m.State == Dead {
		t.Error("a woken host declared the others dead for its own silence")
	}
	seen := false
	for _, e := range w.states["a"].takeEvents() {
		seen = seen || e.Kind == timeline.PauseSeen
	}
	if !seen {
		t.Error("no event for the pause")
	}
	w.run(2 * time.Second)
	if w.view("a").Stale {
		t.Error("the view is still marked after the others were heard")
	}
}

func TestBufferedHeartbeatsDoNotRestoreTrust(t *testing.T) {
	w := newWorld("a", "b")
	w.run(time.Second)
	s := w.states["a"]
	w.now = w.now.Add(10 * time.Second)
	s.tick(w.now)
	for range 20 {
		s.heard(beat{host: "b", incarnation: w.states["b"].self.Incarnation}, w.now.Add(time.Millisecond))
	}
	s.tick(w.now.Add(step))
	if !s.view(1).Stale {
		t.Error("heartbeats from the buffer restored trust")
	}
}

func TestPausedHostAloneRegainsTrust(t *testing.T) {
	w := newWorld("a", "b")
	w.run(time.Second)
	w.frozen["b"] = true
	w.frozen["a"] = true
	w.run(10 * time.Second)
	w.frozen["a"] = false
	w.run(4 * time.Second)
	if w.view("a").Stale || w.stateAt("a", "b") != Dead {
		t.Errorf("paused %v, b is %s; want a trusted view without b", w.view("a").Stale, w.stateAt("a", "b"))
	}
}

func TestLeavingOwnsNothing(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.states["b"].setSelf(true, 0, w.now)
	w.run(time.Second)
	for _, p := range pools() {
		if w.view("a").Owner("dc1", p) == "b" {
			t.Fatalf("the leaving b owns %s", p)
		}
	}
	if d := w.disagreement(); d != "" {
		t.Error(d)
	}
	w.states["a"].setSelf(true, 0, w.now)
	w.states["c"].setSelf(true, 0, w.now)
	w.run(time.Second)
	for _, p := range pools() {
		if w.view("a").Owner("dc1", p) == "" {
			t.Fatalf("nobody owns %s while all are leaving", p)
		}
	}
}

func TestHostListAloneDeclaresNobodyDead(t *testing.T) {
	w := newWorld("a", "b")
	w.run(time.Second)
	w.states["a"].listed(nil, w.now)
	if got := w.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s though heard, want alive", got)
	}
}

func TestHostList(t *testing.T) {
	s := newState(member("a", "dc1", 1), newTiming(config.Timing{}))
	now := time.Unix(1000, 0)
	list := []storage.HostEntry{
		{Name: "a", Role: storage.RoleEntry, DataCentre: "dc1", Address: "a:1", State: storage.HostLive},
		{Name: "b", Role: storage.RoleEntry, DataCentre: "dc1", Address: "b:1", State: storage.HostLeaving},
		{Name: "t", Role: storage.RoleTarget, DataCentre: "dc1", Address: "t:1", State: storage.HostLive},
	}
	s.listed(list, now)
	v := s.view(1)
	if len(v.Members) != 2 {
		t.Fatalf("members are %v, want a and b", v.Members)
	}
	b, _ := v.Member("b")
	if b.PeerAddress != "b:1" || !b.Leaving || b.State != Suspect {
		t.Errorf("b is %+v, want suspect, leaving, at b:1", b)
	}
	for i := range 40 {
		s.tick(now.Add(time.Duration(i) * step))
	}
	if b, _ := s.view(1).Member("b"); b.State != Dead {
		t.Errorf("b, never heard, is %s, want dead", b.State)
	}
	s.greeted(member("b", "dc1", 5), now.Add(5*time.Second))
	if b, _ := s.view(1).Member("b"); b.State != Alive {
		t.Errorf("b, heard for the first time, is %s, want alive at once", b.State)
	}
}

func TestLongDeadMembersAreForgotten(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.run(time.Second)
	w.states["a"].listed([]storage.HostEntry{{Name: "c", Role: storage.RoleEntry, Address: "c:1"}}, w.now)
	w.frozen["b"], w.frozen["c"] = true, true
	w.run(forgetAfter + 5*time.Second)
	if _, ok := w.view("a").Member("b"); ok {
		t.Error("b is still known")
	}
	if _, ok := w.view("a").Member("c"); !ok {
		t.Error("c is forgotten though the host list has it")
	}
}

func TestRemoteMembersAreJudgedByTheirDataCentre(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newState(member("a", "dc1", 1), newTiming(config.Timing{}))
	at := func(d time.Duration) time.Time { return now.Add(d) }
	linked, other := member("x", "dc2", 1), member("y", "dc2", 1)
	state := func(h ident.Host) State {
		m, _ := s.view(1).Member(h)
		return m.State
	}
	s.greeted(linked, now)
	s.told("x", []relayedMember{{Member: other}}, now)
	hear := func(from, to time.Duration) {
		for d := from; d < to; d += step {
			s.heard(beat{host: "x", incarnation: 1}, at(d))
			s.tick(at(d))
		}
	}
	hear(0, 20*time.Second)
	if got := state("y"); got != Alive {
		t.Fatalf("y, counted by x, is %s, want alive", got)
	}
	s.told("x", []relayedMember{{Member: other, dead: true}}, at(20*time.Second))
	if got := state("y"); got != Dead {
		t.Errorf("y, lost by x, is %s, want dead", got)
	}
	s.told("x", []relayedMember{{Member: other}}, at(21*time.Second))
	if got := state("y"); got != Alive {
		t.Errorf("y, counted again, is %s, want alive", got)
	}
	for d := 21 * time.Second; d < 30*time.Second; d += step {
		s.tick(at(d))
	}
	if state("x") != Dead || state("y") != Dead {
		t.Errorf("x is %s and y is %s after the cut, want both dead", state("x"), state("y"))
	}
}

func TestMemberListOfOwnDataCentreIsNoProof(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.run(time.Second)
	gone := relayedMember{Member: w.states["c"].self, dead: true}
	w.frozen["c"] = true
	w.run(1900 * time.Millisecond)
	w.states["a"].told("b", []relayedMember{gone}, w.now)
	if got := w.stateAt("a", "c"); got != Suspect {
		t.Errorf("c is %s by hearsay, want suspect", got)
	}
}

func TestPlannedRestartNeedsNoProbation(t *testing.T) {
	w := newWorld("a", "b")
	w.run(time.Second)
	w.states["b"].setSelf(true, 0, w.now)
	w.run(time.Second)
	w.states["b"] = nil
	w.run(4 * time.Second)
	if got := w.stateAt("a", "b"); got != Dead {
		t.Fatalf("the stopped b is %s, want dead", got)
	}
	w.start("b")
	if got := w.stateAt("a", "b"); got != Alive {
		t.Errorf("b is %s after a planned restart, want alive at once", got)
	}
}
