package settings

import (
	"fmt"
	"strings"
)

// ForbiddenError reports that a change was refused because its principal lacks the
// permission. The refused change had no effect.
type ForbiddenError struct {
	Principal Principal
	// Paths are the documents outside the principal's subtree. It is empty if the
	// principal's token is no longer valid.
	Paths []string
}

// Error implements error.
func (e *ForbiddenError) Error() string {
	if len(e.Paths) == 0 {
		return fmt.Sprintf("the token of %s is no longer valid", e.Principal)
	}
	return fmt.Sprintf("%s may only change %s, not %s", e.Principal, TeamPrefix(e.Principal.Team), strings.Join(e.Paths, ", "))
}
