package settings

import (
	"cmp"
	"slices"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// treeEntry is a parsed document. It is immutable, so that several trees can share it.
// At most one of its declarations (tier, pool, target, team) is set.
type treeEntry struct {
	Document
	// version is the settings version that last changed the document, or zero if that
	// is not known.
	version uint64

	tier   *Tier
	pool   *Pool
	target *Target
	team   *Team

	// findings are the faults that do not depend on other documents.
	findings finding.List
}

func newTreeEntry(d Document, version uint64) *treeEntry {
	e := &treeEntry{Document: d, version: version}
	kind, name, ok := parsePath(d.Path)
	if !ok {
		e.addFinding("", "no document may have this path", DocumentPaths)
		return e
	}
	if !ValidName(name) {
		e.addFinding("", "the name "+name+" is not allowed", allowedNames)
		return e
	}
	e.parse(kind, name)
	return e
}

func (e *treeEntry) parse(kind documentKind, name string) {
	switch kind {
	case tierDocument:
		tier := &Tier{Name: ident.Tier(name)}
		e.decode(tier)
		e.tier = tier
		checkTier(e)
	case poolDocument:
		pool := &Pool{Name: ident.Pool(name)}
		e.decode(pool)
		e.pool = pool
		checkPool(e)
	case targetDocument:
		target := &Target{Name: ident.Target(name)}
		e.decode(target)
		e.target = target
		checkTarget(e)
	case teamDocument:
		team := &Team{Name: ident.Team(name)}
		e.decode(team)
		e.team = team
		checkTeam(e)
	}
}

func (e *treeEntry) decode(into any) {
	e.findings = strictjson.Decode(e.Path, []byte(e.Body), into)
}

// addFinding adds a finding unless there is already one for the same path or for the
// whole document.
func (e *treeEntry) addFinding(path strictjson.Path, message, allowed string) {
	if e.hasFinding(path) {
		return
	}
	e.findings = append(e.findings, e.newFinding(path, message, allowed))
}

// hasFinding reports whether there is a finding for the path or for the whole
// document.
func (e *treeEntry) hasFinding(path strictjson.Path) bool {
	return slices.ContainsFunc(e.findings, func(f finding.Finding) bool {
		return f.Path == string(path) || f.Path == ""
	})
}

func (e *treeEntry) newFinding(path strictjson.Path, message, allowed string) finding.Finding {
	position := strictjson.Locate([]byte(e.Body), path)
	return finding.Finding{
		File:    cmp.Or(e.Path, "document without a path"),
		Path:    string(path),
		Line:    position.Line,
		Column:  position.Column,
		Message: message,
		Allowed: allowed,
	}
}

// usable reports whether the declaration can be in force: the document is a JSON
// object at an allowed path. Findings about single fields do not count, since another
// release may have accepted the document.
func (e *treeEntry) usable() bool {
	return !e.hasFinding("")
}
