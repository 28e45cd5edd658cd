package settings

import (
	"regexp"
	"strings"

	"github.com/cornelyard/cornelyard/ident"
)

// documentKind is the kind of object that a document declares.
type documentKind string

const (
	tierDocument   documentKind = "tier"
	poolDocument   documentKind = "pool"
	targetDocument documentKind = "target"
	teamDocument   documentKind = "team"
)

// DocumentPaths describes, in findings, the paths that a document may have.
const DocumentPaths = "tiers/NAME.json, pools/NAME.json, targets/NAME.json, teams/NAME/team.json"

// allowedNames describes, in findings, the names that may be declared.
const allowedNames = "1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// ValidName reports whether name is allowed for a team, tier, pool, target, host or
// data centre.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// TeamPrefix returns the path prefix of the team's subtree.
func TeamPrefix(team ident.Team) string { return "teams/" + string(team) + "/" }

// parsePath returns the kind and name of the object that the document at path
// declares; ok is false if no document may have that path. The name is not validated.
func parsePath(path string) (kind documentKind, name string, ok bool) {
	parts := strings.Split(path, "/")
	switch {
	case len(parts) == 3 && parts[0] == "teams" && parts[2] == "team.json":
		return teamDocument, parts[1], true
	case len(parts) != 2:
		return "", "", false
	}
	name, isJSON := strings.CutSuffix(parts[1], ".json")
	if !isJSON {
		return "", "", false
	}
	switch parts[0] {
	case "tiers":
		return tierDocument, name, true
	case "pools":
		return poolDocument, name, true
	case "targets":
		return targetDocument, name, true
	default:
		return "", "", false
	}
}

// documentPath returns the path of the document that declares the named object.
func documentPath(kind documentKind, name string) string {
	if kind == teamDocument {
		return TeamPrefix(ident.Team(name)) + "team.json"
	}
	return string(kind) + "s/" + name + ".json"
}
