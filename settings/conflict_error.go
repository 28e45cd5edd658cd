package settings

import (
	"fmt"
	"strings"
	"time"
)

// ConflictError refuses a change because others changed the same documents
// since its base. Nothing was changed.
type ConflictError struct {
	Conflicts []Conflict
}

// Error implements error, one document a line.
func (e *ConflictError) Error() string {
	lines := make([]string, 0, len(e.Conflicts))
	for _, c := range e.Conflicts {
		lines = append(lines, fmt.Sprintf(
			"%s: your change (%s) is based on version %d, but version %d was written by %s (%s) at %s: %s",
			c.Path, c.Author, c.Base, c.Theirs.Version, c.Theirs.Author, c.Theirs.Principal,
			c.Theirs.Time.UTC().Format(time.RFC3339), c.Theirs.Reason,
		))
	}
	return strings.Join(lines, "\n")
}
