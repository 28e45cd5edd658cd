package settings

import "fmt"

// BaseError refuses a change or a read that names a version which does not
// exist.
type BaseError struct {
	Version uint64
	Head    uint64
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("version %d does not exist; the newest is %d", e.Version, e.Head)
}
