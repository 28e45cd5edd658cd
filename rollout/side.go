package rollout

// Side says which targets of a pool may serve a request.
type Side int

const (
	// Old are the targets of any other version than the one that is rolled out.
	Old Side = iota
	// New are the candidates.
	New
)
