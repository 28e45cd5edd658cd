package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// maxListedNames limits the names listed in one finding.
const maxListedNames = 10

// checker collects the findings of a tree that replaces a base tree.
type checker struct {
	base     *Tree
	next     *Tree
	findings finding.List
	// referrers lists, by the path of a removed document, the documents that still
	// refer to it.
	referrers map[string][]string
}

// checkTree returns the findings of next. The base tree is needed to detect removals
// of documents that are still referred to.
func checkTree(base, next *Tree) finding.List {
	c := &checker{base: base, next: next, referrers: make(map[string][]string)}
	for _, e := range next.entries {
		c.findings = append(c.findings, e.findings...)
		c.checkReferences(e)
	}
	c.checkUniqueness()
	c.checkRemovals()
	c.checkEmptiedPools()
	c.findings.Sort()
	return c.findings
}

func (c *checker) add(e *treeEntry, path strictjson.Path, message, allowed string) {
	c.findings = append(c.findings, e.newFinding(path, message, allowed))
}

// checkReferences checks that the documents that e refers to exist.
func (c *checker) checkReferences(e *treeEntry) {
	switch {
	case e.tier != nil:
		for i, team := range e.tier.Teams {
			c.checkReference(e, strictjson.Path("teams").Index(i), teamDocument, string(team))
		}
	case e.pool != nil:
		for team := range e.pool.Shares {
			c.checkReference(e, strictjson.Path("shares").Field(string(team)), teamDocument, string(team))
		}
	case e.target != nil:
		c.checkReference(e, "pool", poolDocument, string(e.target.Pool))
	case e.team != nil:
		c.checkReference(e, "defaultTier", tierDocument, string(e.team.DefaultTier))
		c.checkTierAccess(e)
	}
}

func (c *checker) checkReference(e *treeEntry, path strictjson.Path, kind documentKind, name string) {
	referredPath := documentPath(kind, name)
	if _, ok := c.next.entries[referredPath]; ok || name == "" {
		return
	}
	if _, removed := c.base.entries[referredPath]; removed {
		c.referrers[referredPath] = append(c.referrers[referredPath], e.Path)
		return
	}
	c.add(e, path, fmt.Sprintf("unknown %s %s", kind, quote(name)), c.declaredNames(kind))
}

// declaredNames lists the declared names of a kind, for the finding about an unknown
// one.
func (c *checker) declaredNames(kind documentKind) string {
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
	return joinNames(names)
}

// joinNames joins up to maxListedNames names and counts the rest.
func joinNames(names []string) string {
	if len(names) <= maxListedNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
}

func (c *checker) checkTierAccess(e *treeEntry) {
	tier, ok := c.next.entries[documentPath(tierDocument, string(e.team.DefaultTier))]
	if !ok || tier.tier == nil || len(tier.tier.Teams) == 0 {
		return
	}
	if !slices.Contains(tier.tier.Teams, e.team.Name) {
		c.add(e, "defaultTier", "the team may not use this tier", "a tier that lists the team or lists none")
	}
}

// checkUniqueness checks that ranks, models, addresses and token hashes are declared
// only once.
func (c *checker) checkUniqueness() {
	ranks := newUniqueIndex[int](c, "rank")
	models := newUniqueIndex[string](c, "model")
	addresses := newUniqueIndex[string](c, "address")
	adminHashes := newUniqueIndex[string](c, "admin token hash")
	callerHashes := newUniqueIndex[string](c, "caller token hash")
	for _, path := range c.next.paths() {
		e := c.next.entries[path]
		switch {
		case e.tier != nil && !e.hasFinding("rank"):
			ranks.add(e, "rank", e.tier.Rank)
		case e.pool != nil && e.pool.Model != "":
			models.add(e, "model", e.pool.Model)
		case e.target != nil && e.target.Address != "":
			addresses.add(e, "address", e.target.Address)
		case e.team != nil:
			adminHashes.addAll(e, "adminTokenHashes", e.team.AdminTokenHashes)
			callerHashes.addAll(e, "callerTokenHashes", e.team.CallerTokenHashes)
		}
	}
}

// checkRemovals reports each removed document that is still referred to.
func (c *checker) checkRemovals() {
	for _, path := range slices.Sorted(maps.Keys(c.referrers)) {
		referrers := c.referrers[path]
		slices.Sort(referrers)
		c.findings = append(c.findings, finding.Finding{
			File:    path,
			Message: "removed while in use by " + joinNames(slices.Compact(referrers)),
		})
	}
}

// checkEmptiedPools reports each pool that stays declared but loses its last target.
func (c *checker) checkEmptiedPools() {
	before, after := c.base.poolSizes(), c.next.poolSizes()
	for _, path := range c.base.paths() {
		pool := c.base.entries[path].pool
		if pool == nil || before[pool.Name] == 0 || after[pool.Name] > 0 {
			continue
		}
		if remaining, ok := c.next.entries[path]; ok {
			c.add(remaining, "", "the change takes the pool's last target away", "remove the pool as well, or add a target first")
		}
	}
}
