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

// Report holds the outcomes of a run by class.
type Report struct {
	Classes map[string]*Outcome
}

// ValueRatio returns the earned value as a fraction of the maximum.
func (r Report) ValueRatio() float64 {
	earnedValue, maxValue := 0.0, 0.0
	for _, o := range r.Classes {
		earnedValue += o.EarnedValue
		maxValue += o.MaxValue
	}
	return earnedValue / max(maxValue, 1)
}

// Total returns the request counts summed over all classes.
func (r Report) Total() Outcome {
	var sum Outcome
	for _, o := range r.Classes {
		sum.Arrived += o.Arrived
		sum.OnTime += o.OnTime
		sum.Late += o.Late
		sum.Refused += o.Refused
		sum.Abandoned += o.Abandoned
	}
	return sum
}
