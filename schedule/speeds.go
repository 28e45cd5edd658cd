package schedule

// Speeds is how fast a target was seen to be. Zero values mean that nothing was seen.
type Speeds struct {
	// PrefillRate is the prompt tokens computed in a second.
	PrefillRate float64
	// EventInterval is the time between the events of a stream, in seconds.
	EventInterval float64
}

// targetSampleWeight is the weight of a new observation of a target.
const targetSampleWeight = 0.2

func updateSpeed(mean *float64, observed float64) {
	if *mean == 0 {
		*mean = observed
		return
	}
	updateEWMA(mean, observed, targetSampleWeight)
}
