package operator

// statusQuery requests the status of a host.
type statusQuery struct{}
