package engine

// progress is what a reader of a run's answer sees of it.
type progress struct {
	tokens  int
	state   RunState
	changed <-chan struct{}
}

func (p progress) ended() bool {
	return p.state == RunFinished || p.state == RunCancelled
}
