package daemon

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/membership"
)

// TestHolderOfClaimMayBeRunning guards against an unknown outcome for a caller whose request is
// in progress at a host that this one has not met yet, right after both have started.
func TestHolderOfClaimMayBeRunning(t *testing.T) {
	now := time.Unix(1000, 0)
	view := &membership.View{Members: []membership.Member{
		{Host: "alive", Incarnation: 2, State: membership.Alive},
		{Host: "dead", Incarnation: 2, State: membership.Dead},
	}}
	cases := []struct {
		name   string
		holder claim.Holder
		want   bool
	}{
		{name: "alive", holder: claim.Holder{Host: "alive", Incarnation: 2, ClaimedAt: now.Add(-time.Hour)}, want: true},
		{name: "earlier process", holder: claim.Holder{Host: "alive", Incarnation: 1, ClaimedAt: now}},
		{name: "later process", holder: claim.Holder{Host: "alive", Incarnation: 3, ClaimedAt: now}, want: true},
		{name: "dead", holder: claim.Holder{Host: "dead", Incarnation: 2, ClaimedAt: now}},
		{name: "not met yet", holder: claim.Holder{Host: "new", Incarnation: 1, ClaimedAt: now.Add(-time.Second)}, want: true},
		{name: "forgotten", holder: claim.Holder{Host: "new", Incarnation: 1, ClaimedAt: now.Add(-time.Minute)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := mayBeRunning(now, view, c.holder); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
