package admission

import "github.com/cornelyard/cornelyard/settings"

// Config is the declared configuration of one pool in one data centre.
type Config struct {
	Pool settings.Pool
	// Tiers are sorted by rank.
	Tiers []settings.Tier
	// Targets are the targets in this data centre. Leaving is also set for
	// targets that the host list reports as leaving.
	Targets []settings.Target
}
