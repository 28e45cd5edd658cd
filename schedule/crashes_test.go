package schedule

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
)

// crashing returns a request whose content crashes targets.
func crashing(id string, ms int) Request {
	r := request(id, ms, 0)
	r.Content.Whole = 1
	return r
}

// runOn dispatches a request and returns its target.
func runOn(t *testing.T, s *Scheduler, ms int, r Request) route.Target {
	t.Helper()
	s.Enqueue(at(ms), r)
	target := s.targets[dispatched(t, s, ms)[r.ID]]
	if target == nil {
		t.Fatalf("request %s was not dispatched", r.ID)
	}
	return target.Target
}

// crashUnder lets a request run and crash its target.
func crashUnder(t *testing.T, s *Scheduler, ms int, r Request) {
	t.Helper()
	target := runOn(t, s, ms, r)
	s.RecordCrash(at(ms+20), target)
	s.Finish(at(ms+20), r.ID, Broken)
}

func checkRefused(t *testing.T, s *Scheduler, ms int, id ident.Request, reason outcome.Reason) {
	t.Helper()
	for _, action := range s.Decide(at(ms)) {
		if r, ok := action.(*Refuse); ok && r.Request == id {
			if r.Reason != reason || r.RetryAfter <= 0 {
				t.Errorf("request %s was refused because of %s with Retry-After %s, want %s and a delay", id, r.Reason, r.RetryAfter, reason)
			}
			return
		}
	}
	t.Errorf("request %s was not refused", id)
}

func TestCrashingRequestIsRefusedAtArrival(t *testing.T) {
	s := newScheduler(4, 4, 4)
	crashUnder(t, s, 0, crashing("first", 0))
	crashUnder(t, s, 100, crashing("second", 100))
	s.Enqueue(at(200), crashing("third", 200))
	checkRefused(t, s, 200, "third", outcome.Quarantined)
	if events := s.TakeQuarantineEvents(); len(events) != 1 || !events[0].Started || events[0].Strikes != quarantine.Threshold {
		t.Errorf("got quarantine events %+v, want one start", events)
	}
	if target := runOn(t, s, 300, request("other", 300, 0)); target.Name == "" {
		t.Error("a request with other content was not dispatched")
	}
}

func TestCrashingRequestIsRefusedInQueue(t *testing.T) {
	s := newScheduler(1)
	runOn(t, s, 0, request("running", 0, 0))
	s.Enqueue(at(10), crashing("queued", 10))
	s.MergeCrashes(at(20), []quarantine.Crash{
		{Target: "a", Process: 1, At: at(-100), Runs: []quarantine.Run{{Digest: 1}}},
		{Target: "b", Process: 1, At: at(0), Runs: []quarantine.Run{{Digest: 1}}},
	})
	checkRefused(t, s, 20, "queued", outcome.Quarantined)
	if s.Queued() != 0 {
		t.Errorf("%d requests are queued, want none", s.Queued())
	}
}

func TestCrashesAreReportedToOtherHosts(t *testing.T) {
	s, other := newScheduler(4, 4), newScheduler(4, 4)
	crashUnder(t, s, 0, crashing("first", 0))
	other.ApplyPeerState(at(30), "h2", s.LocalState(at(30)))
	crashUnder(t, other, 100, crashing("second", 100))
	other.Enqueue(at(200), crashing("third", 200))
	checkRefused(t, other, 200, "third", outcome.Quarantined)
}

func TestRequestServedElsewhereIsReleased(t *testing.T) {
	s, other := newScheduler(4, 4), newScheduler(4, 4)
	runOn(t, s, 0, crashing("running", 0))
	crashUnder(t, other, 10, crashing("first", 10))
	crashUnder(t, other, 100, crashing("second", 100))
	s.ApplyPeerState(at(200), "h2", other.LocalState(at(200)))
	s.Finish(at(300), "running", Served)
	other.ApplyPeerState(at(310), "h1", s.LocalState(at(310)))
	other.Decide(at(310))
	runOn(t, other, 320, crashing("third", 320))
}

func TestPlannedLeaveOfTargetIsNoCrash(t *testing.T) {
	cases := map[string]func(*route.TargetSnapshot, ident.Target){
		"draining": func(s *route.TargetSnapshot, name ident.Target) {
			leaving := s.Targets[name]
			leaving.Draining = true
			s.Targets[name] = leaving
		},
		"entry removed": func(s *route.TargetSnapshot, name ident.Target) { delete(s.Targets, name) },
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(4, 4)
			target := runOn(t, s, 0, crashing("first", 0))
			snapshot := engines(4, 4)
			leave(snapshot, target.Name)
			s.Configure(at(10), pools(), snapshot)
			s.RecordCrash(at(20), target)
			s.RecordUnreachable(at(20), target)
			delete(snapshot.Targets, target.Name)
			s.Configure(at(30), pools(), snapshot)
			if crashes := s.Crashes(at(30)); len(crashes) != 0 {
				t.Errorf("got crashes %v, want none", crashes)
			}
		})
	}
}

func TestTargetThatIsBackBeforeItsProbeHasCrashed(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*route.TargetSnapshot, ident.Target)
		crashed bool
	}{
		"same process": {func(*route.TargetSnapshot, ident.Target) {}, false},
		"no entry":     {func(s *route.TargetSnapshot, name ident.Target) { delete(s.Targets, name) }, false},
		"another process": {func(s *route.TargetSnapshot, name ident.Target) {
			next := s.Targets[name]
			next.StartUnixMs = 99
			s.Targets[name] = next
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, snapshot := newScheduler(4, 4), engines(4, 4)
			for name, announced := range snapshot.Targets {
				announced.StartUnixMs = 7
				snapshot.Targets[name] = announced
			}
			s.Configure(at(0), pools(), snapshot)
			target := runOn(t, s, 0, crashing("first", 0))
			s.RecordBrokenOff(at(20), target)
			s.Finish(at(20), "first", Broken)
			c.change(snapshot, target.Name)
			s.Configure(at(1000), pools(), snapshot)
			if got := len(s.Crashes(at(1000))) == 1; got != c.crashed {
				t.Errorf("crash recorded: %v, want %v", got, c.crashed)
			}
		})
	}
}

func TestUnreachableTargetHasCrashedOnceItsEntryIsGone(t *testing.T) {
	cases := []struct {
		name    string
		change  func(*route.TargetSnapshot, ident.Target)
		after   time.Duration
		crashed bool
	}{
		{"unchanged entry", func(*route.TargetSnapshot, ident.Target) {}, time.Second, false},
		{"no entry", func(s *route.TargetSnapshot, name ident.Target) { delete(s.Targets, name) }, 4 * time.Second, true},
		{"no entry after long", func(s *route.TargetSnapshot, name ident.Target) { delete(s.Targets, name) }, time.Minute, false},
		{"another process", func(s *route.TargetSnapshot, name ident.Target) {
			next := s.Targets[name]
			next.StartUnixMs = 99
			s.Targets[name] = next
		}, time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(4, 4)
			target := runOn(t, s, 0, crashing("first", 0))
			s.RecordUnreachable(at(20), target)
			s.Finish(at(20), "first", Broken)
			snapshot := engines(4, 4)
			c.change(snapshot, target.Name)
			s.Configure(at(20).Add(c.after), pools(), snapshot)
			if got := len(s.Crashes(at(20).Add(c.after))) == 1; got != c.crashed {
				t.Errorf("crash recorded: %v, want %v", got, c.crashed)
			}
		})
	}
}
