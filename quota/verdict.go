package quota

import "time"

// Verdict is whether a request fits in its team's quota, and what that rested on.
type Verdict struct {
	Allowed bool
	// Wait is how long it takes until the request fits.
	Wait time.Duration
	// Used is what all hosts let through in the window, as far as this host knows,
	// and Limit what may be.
	Used  float64
	Limit float64
}
