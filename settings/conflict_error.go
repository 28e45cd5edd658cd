package settings

import (
	"fmt"
	"strings"
	"time"
)

// ConflictError reports that a change was refused because the same documents were
// changed after its base. The refused change had no effect.
type ConflictError struct {
	Conflicts []Conflict
}

// Error implements error. It returns one line per document.
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
