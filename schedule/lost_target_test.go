package schedule

import (
	"testing"
)

// TestEntryOfLostTargetIsCertainOnlyOnceItWasReadSince guards against a stream that goes on at another software version, because
// its target started again with it while the store turned this host away.
func TestEntryOfLostTargetIsCertainOnlyOnceItWasReadSince(t *testing.T) {
	s := newScheduler(1)
	s.RecordCrash(at(0), s.targets["t0"].Target)
	s.targets["t0"].health = health{}
	for _, c := range []struct {
		ms, asOfMs int
		unsure     bool
	}{{ms: 5000, asOfMs: -100, unsure: true}, {ms: 6000, asOfMs: 900, unsure: true}, {ms: 7000, asOfMs: 1000, unsure: false}} {
		s.ConfirmTargets(at(c.asOfMs))
		r := request("r", c.ms, 0)
		s.Enqueue(at(c.ms), r)
		actions := s.Decide(at(c.ms))
		if len(actions) != 1 {
			t.Fatalf("got the actions %+v, want one", actions)
		}
		if d, ok := actions[0].(*Dispatch); !ok || d.VersionUnsure != c.unsure {
			t.Errorf("after %d ms, with entries as of %d ms: got %+v, want a dispatch with an unsure version: %t", c.ms, c.asOfMs, actions[0], c.unsure)
		}
		s.Finish(at(c.ms+10), "r", Served)
	}
}
