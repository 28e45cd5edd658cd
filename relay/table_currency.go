package relay

import "time"

// TableCurrency says how current the configuration in force is.
type TableCurrency struct {
	// Age is the time since the configuration was known to be the newest one.
	Age time.Duration
	// Outdated says that another host is known to have a newer configuration.
	Outdated bool
}
