package overhead

import "time"

// options configures the measurement.
type options struct {
	// rate is the mean number of calls per second.
	rate float64
	// duration is the length of one phase; direct phases alternate with phases through the
	// hosts.
	duration time.Duration
	rounds   int
	hosts    int
	// tokens is the length of a response.
	tokens int
	// decodeGap is the engine's time between tokens.
	decodeGap time.Duration
	seed      uint64
}
