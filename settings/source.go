package settings

// Source provides the settings in force on this host.
type Source interface {
	// Current returns the snapshot in force, or nil if there is none yet.
	Current() *Snapshot
	// Changed returns a channel that is closed when the snapshot is replaced.
	Changed() <-chan struct{}
}
