package admission

// runningKind tells the lists that one running request is in apart.
type runningKind int

const (
	// runningOfTarget lists what a target has in service.
	runningOfTarget runningKind = iota
	// runningOfTier lists what a tier has in service.
	runningOfTier
	runningKinds
)

// runningList is an unordered list with removal in constant time. Its order
// depends on the sequence of changes alone, so that decisions can be replayed.
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
