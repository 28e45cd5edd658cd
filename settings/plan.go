package settings

// plan is the effect of a change on the newest version.
type plan struct {
	from     *state
	revision uint64
	edits    []Edit
	next     *Tree
}
