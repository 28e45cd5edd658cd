package settings

// syncStatus is the result of the last look for a newer version.
type syncStatus struct {
	tried    bool
	platform error
	peers    error
}

// missing says why there are no settings.
func (s syncStatus) missing() error {
	switch {
	case !s.tried:
		return Error.New("not read yet")
	case s.platform == nil:
		return Error.New("no declarations have been applied yet")
	case s.peers != nil:
		return Error.New("neither the platform nor a peer gave them: %v; %v", s.platform, s.peers)
	default:
		return Error.New("the platform did not give them, and no peer has any: %v", s.platform)
	}
}
