package settings

// plan is what a change does to one version.
type plan struct {
	from     *state
	revision uint64
	edits    []Edit
	next     *Tree
}
