package settings

// checkTier adds the findings of a tier that do not depend on other documents.
func checkTier(e *treeEntry) {
	if e.tier.Rank < 0 {
		e.addFinding("rank", "the rank is negative", "0 or more, 0 is served first")
	}
	if e.tier.DefaultDeadline <= 0 {
		e.addFinding("defaultDeadline", "the deadline is not positive", "a duration such as \"30s\"")
	}
}
