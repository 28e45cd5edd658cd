package schedule

// Speeds holds the measured speeds of a target. Zero values mean that nothing was
// measured.
type Speeds struct {
	// PrefillRate is the number of prompt tokens processed per second.
	PrefillRate float64
	// EventInterval is the mean time between the events of a stream, in seconds.
	EventInterval float64
}

// targetSampleWeight is the weight of a new sample in the means of a target.
const targetSampleWeight = 0.2

func updateSpeed(mean *float64, observed float64) {
	if *mean == 0 {
		*mean = observed
		return
	}
	updateEWMA(mean, observed, targetSampleWeight)
}
