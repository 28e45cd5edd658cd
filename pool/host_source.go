package pool

import "github.com/cornelyard/cornelyard/storage"

// HostSource provides the latest host list.
type HostSource interface {
	// Entries returns the list, which the caller must not modify.
	Entries() []storage.HostEntry
	// Changed returns a channel that is closed when the list is replaced.
	Changed() <-chan struct{}
}
