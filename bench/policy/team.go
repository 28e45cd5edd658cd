package policy

import "github.com/cornelyard/cornelyard/ident"

// team is a customer with its share of the calls.
type team struct {
	name  ident.Team
	share float64
}
