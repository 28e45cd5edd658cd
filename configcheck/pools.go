package configcheck

import (
	"fmt"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

func checkPools(c *route.Configuration, found *problems) {
	used := make(map[ident.Pool]bool)
	for _, r := range c.Routes {
		for _, p := range r.WeightedPools {
			used[p.Pool] = true
		}
	}
	earlier := make(map[ident.Pool]bool, len(c.Pools))
	for i, p := range c.Pools {
		if earlier[p.Name] {
			found.add(Pool, i, NoField, fmt.Sprintf("the pool %q is given twice: only the last entry counts", p.Name))
		}
		earlier[p.Name] = true
		if !used[p.Name] {
			found.add(Pool, i, NoField, fmt.Sprintf("no route leads to the pool %q", p.Name))
		}
		if p.Engine != nil && p.MaxConnections > 0 && p.Engine.Slots > p.MaxConnections {
			found.add(Pool, i, MaxConnections, fmt.Sprintf("a target with %d slots accepts only %d connections", p.Engine.Slots, p.MaxConnections))
		}
	}
}
