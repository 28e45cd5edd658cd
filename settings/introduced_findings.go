package settings

import "github.com/cornelyard/cornelyard/finding"

// introducedFindings returns the findings that next has and base does not. Findings
// that are in force already, because an earlier release accepted them, do not block
// changes to other documents.
func introducedFindings(base, next *Tree) finding.List {
	findings := checkTree(base, next)
	if len(findings) == 0 {
		return nil
	}
	return findings.Without(checkTree(base, base))
}
