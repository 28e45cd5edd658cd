package route

import "github.com/cornelyard/cornelyard/ident"

// Team is one customer.
type Team struct {
	Name ident.Team
	// Priority ranks the team before any route's priority; 0 is served first.
	Priority int
	Keys     []string
	Quota    Quota
}
