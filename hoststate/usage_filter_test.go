package hoststate

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quota"
)

func TestUsageFilterReportsChangesAndAllTeamsAtIntervals(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	f := usageFilter{fullInterval: time.Second}
	steps := []struct {
		at   time.Duration
		a, b float64
		want string
	}{
		{0, 1, 1, "a b"},
		{100 * time.Millisecond, 1, 1, ""},
		{200 * time.Millisecond, 2, 1, "a"},
		{300 * time.Millisecond, 2, 3, "b"},
		{999 * time.Millisecond, 2, 3, ""},
		{1000 * time.Millisecond, 2, 3, "a b"},
	}
	for _, s := range steps {
		changed := f.changes(start.Add(s.at), map[ident.Team]quota.Usage{"a": {Total: s.a}, "b": {Total: s.b}})
		var names []string
		for _, team := range slices.Sorted(maps.Keys(changed)) {
			names = append(names, string(team))
		}
		if got := strings.Join(names, " "); got != s.want {
			t.Errorf("after %v: reported %q, want %q", s.at, got, s.want)
		}
	}
}
