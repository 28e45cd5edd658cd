package admission

// runningKind identifies one of the lists that a running request is in.
type runningKind int

const (
	// runningOfTarget lists the running requests of a target.
	runningOfTarget runningKind = iota
	// runningOfTier lists the running requests of a tier.
	runningOfTier
	runningKinds
)

// runningList is an unordered list with removal in constant time. Its order
// depends only on the sequence of changes, so that decisions can be replayed.
type runningList struct {
	kind  runningKind
	items []*runningRequest
}

func (l *runningList) add(r *runningRequest) {
	r.positions[l.kind] = len(l.items)
	l.items = append(l.items, r)
}

func (l *runningList) remove(r *runningRequest) {
	position := r.positions[l.kind]
	last := len(l.items) - 1
	moved := l.items[last]
	l.items[position] = moved
	moved.positions[l.kind] = position
	l.items[last] = nil
	l.items = l.items[:last]
}
