package settings

import "github.com/cornelyard/cornelyard/ident"

// Tier declares a priority class. File: tiers/<name>.json.
type Tier struct {
	Name ident.Tier `json:"-"`
	// Rank orders the tiers; 0 has the highest priority. Ranks are unique.
	Rank int `json:"rank" jsonschema:"minimum=0" jsonschema_description:"order of the tiers; 0 is served first, each rank is used once"`
	// DefaultDeadline applies to requests that name no deadline.
	DefaultDeadline Duration `json:"defaultDeadline" jsonschema_description:"deadline of requests that name none"`
	// Teams lists the teams that may use the tier; empty means all teams.
	Teams []ident.Team `json:"teams,omitempty" jsonschema_description:"teams that may use the tier; none means all"`
}
