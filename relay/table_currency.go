package relay

import "time"

// maxTableAge is the age of a configuration up to which it decides what is not allowed. A host that is
// connected knows of a newer one earlier.
const maxTableAge = 5 * time.Second

// TableCurrency says how current the configuration in force is.
type TableCurrency struct {
	// Age is the time since the configuration was known to be the newest one.
	Age time.Duration
	// Outdated says that there is a newer configuration, which another host has or which can't be read.
	Outdated bool
}

// definite reports whether a request that the configuration does not allow is not allowed by a newer one
// either, as far as this host can know.
func (c TableCurrency) definite() bool { return !c.Outdated && c.Age <= maxTableAge }
