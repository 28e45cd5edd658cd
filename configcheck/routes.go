package configcheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

func checkRoutes(c *route.Configuration, found *problems) {
	pools := make(map[ident.Pool]bool, len(c.Pools))
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	earlier := make(map[routeKey]string, len(c.Routes))
	for i, r := range c.Routes {
		checkMatch(i, r, earlier, found)
		checkWeightedPools(i, r, pools, found)
		checkTimes(i, r, found)
		checkStreamFields(i, r, found)
	}
}

// routeKey is what selects a route: the first one with the longest prefix of a host name.
type routeKey struct {
	hostName   string
	pathPrefix string
}

// checkMatch finds routes that no request matches.
func checkMatch(i int, r *route.Route, earlier map[routeKey]string, found *problems) {
	if r.HostName == "" {
		found.add(Route, i, HostName, "matches no request: the host name is missing")
	}
	if strings.Contains(r.HostName, ":") {
		found.add(Route, i, HostName, "matches no request: ports of requests are ignored, and a host name has none")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		found.add(Route, i, PathPrefix, "matches no request: paths begin with a slash")
	} else if !strings.HasSuffix(r.PathPrefix, "/") {
		found.add(Route, i, PathPrefix, "also matches paths that go on without a slash: a prefix ends with one")
	}
	key := routeKey{hostName: strings.ToLower(r.HostName), pathPrefix: r.PathPrefix}
	if name, exists := earlier[key]; exists {
		found.add(Route, i, NoField, fmt.Sprintf("matches no request: the route %q has the same host name and path prefix", name))
		return
	}
	earlier[key] = r.Name
}

func checkWeightedPools(i int, r *route.Route, pools map[ident.Pool]bool, found *problems) {
	total := 0.0
	for _, p := range r.WeightedPools {
		total += max(p.Weight, 0)
		if !pools[p.Pool] {
			found.add(Route, i, Pools, fmt.Sprintf("requests can't be served: the pool %q is not configured", p.Pool))
		}
		if p.Weight <= 0 {
			found.add(Route, i, Pools, fmt.Sprintf("the pool %q gets no requests: its weight is %g", p.Pool, p.Weight))
		}
	}
	if total <= 0 {
		found.add(Route, i, Pools, "no pool has a positive weight")
	}
}

// checkTimes finds times that contradict each other.
func checkTimes(i int, r *route.Route, found *problems) {
	if r.Timeout <= 0 {
		return
	}
	if r.LatencyObjective > r.Timeout {
		found.add(Route, i, LatencyObjective, fmt.Sprintf("the objective of %s is never missed: requests end after %s", r.LatencyObjective, r.Timeout))
	}
	if r.MaxAttempts > 1 && time.Duration(r.MaxAttempts)*r.LatencyObjective > r.Timeout {
		found.add(Route, i, MaxAttempts, fmt.Sprintf(
			"%d attempts of up to the objective of %s each don't fit into %s", r.MaxAttempts, r.LatencyObjective, r.Timeout))
	}
}

// checkStreamFields finds fields that have no effect on routes that carry no streams.
func checkStreamFields(i int, r *route.Route, found *problems) {
	if r.Kind == route.Stream {
		if r.Timeout > 0 && r.EventGapObjective > r.Timeout {
			found.add(Route, i, EventGapObjective, fmt.Sprintf("the objective of %s is never missed: requests end after %s", r.EventGapObjective, r.Timeout))
		}
		return
	}
	if r.Resumable {
		found.add(Route, i, Resumable, "has no effect: only streams are resumed")
	}
	if r.EventGapObjective > 0 {
		found.add(Route, i, EventGapObjective, "has no effect: only streams have events")
	}
}
