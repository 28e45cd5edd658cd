package route

import "github.com/cornelyard/cornelyard/ident"

// Team is one customer.
type Team struct {
	Name ident.Team
	// Priority orders teams and takes precedence over the priority of routes; 0 is
	// served first.
	Priority int
	Keys     []string
	Quota    Quota
}
