package engine

// progress is the state of a run as its readers see it.
type progress struct {
	tokens  int
	state   RunState
	changed <-chan struct{}
}

func (p progress) ended() bool {
	return p.state == RunFinished || p.state == RunCancelled
}
