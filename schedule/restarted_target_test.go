package schedule

import (
	"fmt"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
)

// remainder returns a request for the remainder of a stream that began at version "v1".
func remainder(id string, ms int) Request {
	r := request(id, ms, 0)
	r.RequiresVersion, r.Version = true, "v1"
	return r
}

// announce applies a target of version "v1" with a start time.
func announce(s *Scheduler, ms int, t route.Target, startUnixMs int64) route.Target {
	t.Version, t.StartUnixMs = "v1", startUnixMs
	s.configureTarget(at(0), t.Name, t)
	_ = s.Decide(at(ms))
	return t
}

func TestStreamDoesNotGoOnAtTargetThatMayHaveStartedAgain(t *testing.T) {
	losses := map[string]func(s *Scheduler, lost route.Target){
		"crash": func(s *Scheduler, lost route.Target) { s.RecordCrash(at(10), lost) },
		"no connection after a broken response": func(s *Scheduler, lost route.Target) {
			s.RecordUnreachable(at(10), lost)
		},
		"no connection": func(s *Scheduler, lost route.Target) {
			_ = runOn(t, s, 10, request("lost", 10, 0))
			s.Finish(at(10), "lost", Unreachable)
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(4)
			lost := announce(s, 0, s.targets["t0"].Target, 1)
			lose(s, lost)
			s.Enqueue(at(500), remainder("early", 500))
			checkRefused(t, s, 500, "early", outcome.NoVersion)
			announce(s, 600, lost, 2)
			runOn(t, s, 700, remainder("after its entry", 700))
		})
	}
}

func TestTargetWhoseEntryStaysIsUsedForStreamsAgain(t *testing.T) {
	s := newScheduler(4)
	lost := announce(s, 0, s.targets["t0"].Target, 1)
	s.RecordUnreachable(at(10), lost)
	s.ConfirmTargets(at(1009))
	early := remainder("early", 1015)
	s.Enqueue(at(1015), early)
	if targets := dispatched(t, s, 1015); len(targets) > 0 {
		t.Errorf("got the dispatches %v before the entry was read late enough, want none", targets)
	}
	s.Cancel("early")
	s.ConfirmTargets(at(1010))
	later := 1020
	runOn(t, s, later, remainder("later", later))
}

// TestResumableStreamDoesNotBeginAtTargetInDoubt guards against streams that nobody can take up, because
// they began at a target that may run another version although a certain one was free.
func TestResumableStreamDoesNotBeginAtTargetInDoubt(t *testing.T) {
	s := newScheduler(2, 2)
	busy := runOn(t, s, 10, request("busy", 10, 0)).Name
	doubted := ident.Target("t0")
	if busy == doubted {
		doubted = "t1"
	}
	s.RecordUnreachable(at(10), s.targets[doubted].Target)
	for i, want := range []ident.Target{busy, doubted} {
		r := request(fmt.Sprint(i), 20, 0)
		r.Resumable = true
		if got := runOn(t, s, 20, r).Name; got != want {
			t.Errorf("stream %d began at %s, want %s", i, got, want)
		}
	}
}
