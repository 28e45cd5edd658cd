package configcheck

import (
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

func checkTeams(c *route.Configuration, quotaWindow time.Duration, found *problems) {
	names := make(map[ident.Team]bool, len(c.Teams))
	owners := make(map[string]ident.Team)
	for i, t := range c.Teams {
		if names[t.Name] {
			found.add(Team, i, NoField, fmt.Sprintf("the team %q is given twice: both entries use one quota", t.Name))
		}
		names[t.Name] = true
		checkKeys(i, t, owners, found)
		checkQuota(i, t, quotaWindow, found)
	}
}

func checkKeys(i int, t *route.Team, owners map[string]ident.Team, found *problems) {
	if len(t.Keys) == 0 {
		found.add(Team, i, Keys, "no request can be of this team: it has no key")
	}
	for _, key := range t.Keys {
		if key == "" {
			found.add(Team, i, Keys, "the empty key admits requests without a key")
		}
		if owner, exists := owners[key]; exists {
			found.add(Team, i, Keys, fmt.Sprintf("a key is given twice: requests with it are no longer of the team %q", owner))
		}
		owners[key] = t.Name
	}
}

// checkQuota finds quotas into which no request fits whose number of tokens is unknown.
func checkQuota(i int, t *route.Team, window time.Duration, found *problems) {
	q := t.Quota
	if !q.Limited() {
		return
	}
	limit := q.PerSecond*window.Seconds() + q.Burst
	if cost := q.Cost(0); cost > limit {
		found.add(Team, i, Burst, fmt.Sprintf("no request without a token count is admitted: it costs %g, and %s allow %g", cost, window, limit))
	}
}
