package settings

import (
	"fmt"
	"strings"
)

// ForbiddenError refuses a change that its principal may not make. Nothing was
// changed.
type ForbiddenError struct {
	Principal Principal
	// Paths are the documents outside the principal's subtree; none means that
	// the token has lost its right.
	Paths []string
}

// Error implements error.
func (e *ForbiddenError) Error() string {
	if len(e.Paths) == 0 {
		return fmt.Sprintf("the token of %s is no longer valid", e.Principal)
	}
	return fmt.Sprintf("%s may only change %s, not %s", e.Principal, TeamPrefix(e.Principal.Team), strings.Join(e.Paths, ", "))
}
