package settings

// syncStatus is the result of the last attempt to read a newer version.
type syncStatus struct {
	attempted   bool
	platformErr error
	peersErr    error
}

// notReadyError returns the reason why no settings are in force.
func (s syncStatus) notReadyError() error {
	switch {
	case !s.attempted:
		return Error.New("not read yet")
	case s.platformErr == nil:
		return Error.New("no declarations have been applied yet")
	case s.peersErr != nil:
		return Error.New("neither the platform nor a peer gave them: %v; %v", s.platformErr, s.peersErr)
	default:
		return Error.New("the platform did not give them, and no peer has any: %v", s.platformErr)
	}
}
