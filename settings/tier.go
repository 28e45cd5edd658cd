package settings

import "github.com/cornelyard/cornelyard/ident"

// Tier declares one priority class. File: tiers/<name>.json.
type Tier struct {
	Name ident.Tier `json:"-"`
	// Rank orders the tiers; 0 is served first. Each rank is used once.
	Rank int `json:"rank" jsonschema:"minimum=0" jsonschema_description:"order of the tiers; 0 is served first, each rank is used once"`
	// DefaultDeadline is used when the caller names none.
	DefaultDeadline Duration `json:"defaultDeadline" jsonschema_description:"deadline of requests that name none"`
	// Teams lists who may use the tier; an empty list means every team.
	Teams []ident.Team `json:"teams,omitempty" jsonschema_description:"teams that may use the tier; none means all"`
}
