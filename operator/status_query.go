package operator

// statusQuery asks a host for its status.
type statusQuery struct{}
