package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// maxListed bounds the names listed in one finding.
const maxListed = 10

// checker collects the findings of a tree that replaces another one.
type checker struct {
	base     *Tree
	next     *Tree
	findings finding.List
	// users lists, by the path of a removed document, the documents that still
	// refer to it.
	users map[string][]string
}

// checkTree returns the findings of next, with what base tells about removals.
func checkTree(base, next *Tree) finding.List {
	c := &checker{base: base, next: next, users: make(map[string][]string)}
	for _, e := range next.entries {
		c.findings = append(c.findings, e.findings...)
		c.references(e)
	}
	c.uniqueness()
	c.removals()
	c.emptiedPools()
	c.findings.Sort()
	return c.findings
}

func (c *checker) add(e *entry, path strictjson.Path, message, allowed string) {
	c.findings = append(c.findings, e.locate(path, message, allowed))
}

// references checks what one document refers to.
func (c *checker) references(e *entry) {
	switch {
	case e.tier != nil:
		for i, team := range e.tier.Teams {
			c.reference(e, strictjson.Path("teams").Index(i), teamDocument, string(team))
		}
	case e.pool != nil:
		for team := range e.pool.Shares {
			c.reference(e, strictjson.Path("shares").Field(string(team)), teamDocument, string(team))
		}
	case e.target != nil:
		c.reference(e, "pool", poolDocument, string(e.target.Pool))
	case e.team != nil:
		c.reference(e, "defaultTier", tierDocument, string(e.team.DefaultTier))
		c.tierAllowed(e)
	}
}

func (c *checker) reference(e *entry, path strictjson.Path, kind documentKind, name string) {
	target := documentPath(kind, name)
	if _, ok := c.next.entries[target]; ok || name == "" {
		return
	}
	if _, removed := c.base.entries[target]; removed {
		c.users[target] = append(c.users[target], e.Path)
		return
	}
	c.add(e, path, fmt.Sprintf("unknown %s %s", kind, quote(name)), c.declared(kind))
}

// declared lists the declared names of a kind.
func (c *checker) declared(kind documentKind) string {
	var names []string
	for path := range c.next.entries {
		if k, name, ok := parsePath(path); ok && k == kind {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return fmt.Sprintf("no %s is declared", kind)
	}
	slices.Sort(names)
	return listed(names)
}

// listed joins the first names and counts the rest.
func listed(names []string) string {
	if len(names) <= maxListed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], ", "), len(names)-maxListed)
}

func (c *checker) tierAllowed(e *entry) {
	tier, ok := c.next.entries[documentPath(tierDocument, string(e.team.DefaultTier))]
	if !ok || tier.tier == nil || len(tier.tier.Teams) == 0 {
		return
	}
	if !slices.Contains(tier.tier.Teams, e.team.Name) {
		c.add(e, "defaultTier", "the team may not use this tier", "a tier that lists the team or lists none")
	}
}

// uniqueness checks what may be declared once only.
func (c *checker) uniqueness() {
	ranks := newOnce[int](c, "rank")
	models := newOnce[string](c, "model")
	addresses := newOnce[string](c, "address")
	admins := newOnce[string](c, "admin token hash")
	callers := newOnce[string](c, "caller token hash")
	for _, path := range c.next.paths() {
		e := c.next.entries[path]
		switch {
		case e.tier != nil && !e.faulty("rank"):
			ranks.use(e, "rank", e.tier.Rank)
		case e.pool != nil && e.pool.Model != "":
			models.use(e, "model", e.pool.Model)
		case e.target != nil && e.target.Address != "":
			addresses.use(e, "address", e.target.Address)
		case e.team != nil:
			admins.useAll(e, "adminTokenHashes", e.team.AdminTokenHashes)
			callers.useAll(e, "callerTokenHashes", e.team.CallerTokenHashes)
		}
	}
}

// removals reports each removed document that is still referred to.
func (c *checker) removals() {
	for _, path := range slices.Sorted(maps.Keys(c.users)) {
		users := c.users[path]
		slices.Sort(users)
		c.findings = append(c.findings, finding.Finding{
			File:    path,
			Message: "removed while in use by " + listed(slices.Compact(users)),
		})
	}
}

// emptiedPools reports each pool that loses its last target but stays declared.
func (c *checker) emptiedPools() {
	before, after := c.base.poolSizes(), c.next.poolSizes()
	for _, path := range c.base.paths() {
		pool := c.base.entries[path].pool
		if pool == nil || before[pool.Name] == 0 || after[pool.Name] > 0 {
			continue
		}
		if kept, ok := c.next.entries[path]; ok {
			c.add(kept, "", "the change takes the pool's last target away", "remove the pool as well, or add a target first")
		}
	}
}
