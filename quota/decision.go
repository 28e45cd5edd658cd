package quota

import "time"

// Decision states whether a request fits in its team's quota, and on what basis.
type Decision struct {
	Allowed bool
	// RetryAfter is how long it takes until the request fits.
	RetryAfter time.Duration
	// Used is what all hosts admitted in the window, as far as this host knows, and
	// Limit what may be admitted.
	Used  float64
	Limit float64
}
