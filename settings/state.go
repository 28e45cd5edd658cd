package settings

// state is one version of the tree. It is immutable.
type state struct {
	version uint64
	tree    *Tree
}

func emptyState() *state {
	return &state{tree: newTree(nil, 0)}
}

// after returns the state that applying the record's edits gives.
func (s *state) after(r Record) *state {
	return &state{version: r.Version, tree: s.tree.withEdits(r.Edits, r.Version)}
}
