package loadmodel

// Outcome counts the requests of one class by their outcome.
type Outcome struct {
	Arrived int
	OnTime  int
	Late    int
	Refused int
	// Abandoned counts requests whose callers gave up waiting.
	Abandoned int
	// EarnedValue and MaxValue are in the units of RequestClass.Value.
	EarnedValue float64
	MaxValue    float64
}

// ServedRatio returns the fraction of requests that were served.
func (o Outcome) ServedRatio() float64 { return float64(o.OnTime+o.Late) / float64(max(o.Arrived, 1)) }

// OnTimeRatio returns the fraction of requests that were served within their objective.
func (o Outcome) OnTimeRatio() float64 { return float64(o.OnTime) / float64(max(o.Arrived, 1)) }
