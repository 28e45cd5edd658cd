package loadmodel

// Outcome counts what became of the requests of one class.
type Outcome struct {
	Arrived int
	OnTime  int
	Late    int
	Refused int
	// Left counts callers that left without an answer.
	Abandoned int
	// Earned and Owed are in the worth of the class.
	EarnedValue float64
	MaxValue    float64
}

// Served returns the part of the requests that got an answer.
func (o Outcome) ServedRatio() float64 { return float64(o.OnTime+o.Late) / float64(max(o.Arrived, 1)) }

// Punctual returns the part of the requests that got an answer on time.
func (o Outcome) OnTimeRatio() float64 { return float64(o.OnTime) / float64(max(o.Arrived, 1)) }

// Report is what came of a run, by class.
type Report struct {
	Classes map[string]*Outcome
}

// Credit returns what was earned of all that was owed.
func (r Report) ValueRatio() float64 {
	earned, owed := 0.0, 0.0
	for _, o := range r.Classes {
		earned += o.EarnedValue
		owed += o.MaxValue
	}
	return earned / max(owed, 1)
}

// Total sums up all classes.
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
