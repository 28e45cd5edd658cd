package gateway

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/ident"
)

func membersNamed(names ...ident.Host) []hoststate.Member {
	members := make([]hoststate.Member, 0, len(names))
	for _, name := range names {
		members = append(members, hoststate.Member{Host: name})
	}
	return members
}

func TestSetOfHostsDoesNotShrinkBeforeTheOthersCanRegisterAgain(t *testing.T) {
	var tracker memberTracker
	start := time.Unix(1_000_000, 0)
	tracker.setListed(membersNamed("h1", "h2", "h3"))
	tracker.members(start)
	tracker.recordReturn(start)
	tracker.setListed(membersNamed("h1"))
	if n := len(tracker.members(start.Add(time.Second))); n != 3 {
		t.Errorf("%d hosts a second after the store's return, want 3", n)
	}
	tracker.setListed(membersNamed("h1", "h2"))
	if n := len(tracker.members(start.Add(2 * time.Second))); n != 3 {
		t.Errorf("%d hosts two seconds after the store's return, want 3", n)
	}
	if n := len(tracker.members(start.Add(memberGrace))); n != 2 {
		t.Errorf("%d hosts after the grace, want the 2 that have registered again", n)
	}
}

func TestHostThatLeavesOtherwiseCountsNoLonger(t *testing.T) {
	var tracker memberTracker
	now := time.Unix(1_000_000, 0)
	tracker.setListed(membersNamed("h1", "h2"))
	tracker.members(now)
	tracker.setListed(membersNamed("h1"))
	if n := len(tracker.members(now)); n != 1 {
		t.Errorf("%d hosts, want 1", n)
	}
}
