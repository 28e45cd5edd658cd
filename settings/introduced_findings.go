package settings

import "github.com/cornelyard/cornelyard/finding"

// newFindings returns the findings that next has and base has not. Faults that
// are in force already, from an earlier release's checks, hold nobody up.
func introducedFindings(base, next *Tree) finding.List {
	findings := checkTree(base, next)
	if len(findings) == 0 {
		return nil
	}
	return findings.Without(checkTree(base, base))
}
