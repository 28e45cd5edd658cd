package admission

import "github.com/cornelyard/cornelyard/settings"

// Config is what the declarations say about one pool in one data centre.
type Config struct {
	Pool settings.Pool
	// Tiers are sorted by rank.
	Tiers []settings.Tier
	// Targets are those of this data centre. Leaving is also set for targets
	// that the host list shows as leaving.
	Targets []settings.Target
}
