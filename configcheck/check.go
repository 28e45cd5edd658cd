package configcheck

import (
	"time"

	"github.com/cornelyard/cornelyard/route"
)

// Check returns the problems of a configuration, in the order of its entries. A quota applies to
// each window of quotaWindow.
func Check(c *route.Configuration, quotaWindow time.Duration) []Problem {
	var found problems
	checkRoutes(c, &found)
	checkPools(c, &found)
	checkTeams(c, quotaWindow, &found)
	return found
}
