package engine

// prefillShare is the number of prompt tokens that a step computes for one run.
type prefillShare struct {
	run    *run
	tokens int
}
