package gateway

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Guards against a call for each busy team, and against marks that grow older than
// busyMarkInterval: a host that starts knows of a busy team only by its mark.
func TestBusyTeamsAreMarkedTogether(t *testing.T) {
	start := time.Unix(1000, 0)
	marked := make(map[ident.Team]time.Time)
	teams := []ident.Team{"a", "b", "c", "d", "e", "f", "g"}
	calls := 0
	for step := range 120 {
		now := start.Add(time.Duration(step) * busyCheckInterval)
		busy := teams[:min(step+1, len(teams))]
		due := teamsToMark(now, busy, marked)
		if len(due) > 0 && step >= len(teams) {
			calls++
		}
		for _, team := range due {
			marked[team] = now
		}
		for _, team := range busy {
			if age := now.Sub(marked[team]); age > busyMarkInterval {
				t.Fatalf("after %v the mark of %s is %v old", now.Sub(start), team, age)
			}
		}
	}
	// 113 checks take 56.5 s, and no call is less than earlyMarkInterval after another one.
	if limit := int(56500*time.Millisecond/earlyMarkInterval) + 1; calls > limit {
		t.Errorf("%d calls for %d busy teams, want at most %d", calls, len(teams), limit)
	}
}
