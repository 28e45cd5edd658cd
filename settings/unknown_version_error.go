package settings

import "fmt"

// UnknownVersionError reports that a change or a read names a version that does not
// exist.
type UnknownVersionError struct {
	Version uint64
	Head    uint64
}

// Error implements error.
func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("version %d does not exist; the newest is %d", e.Version, e.Head)
}
