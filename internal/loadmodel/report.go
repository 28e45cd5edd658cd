package loadmodel

// Report holds the outcomes of a run by class.
type Report struct {
	Classes map[string]*Outcome
	// Prefixes is empty unless engines cache prefixes.
	Prefixes PrefixReport
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
		sum.LateByRefusal += o.LateByRefusal
		sum.Refused += o.Refused
		sum.Abandoned += o.Abandoned
		sum.Failed += o.Failed
		sum.Refusals += o.Refusals
		sum.EarlyRefusals += o.EarlyRefusals
		sum.Retries += o.Retries
		sum.RetriesServed += o.RetriesServed
		sum.Reserved += o.Reserved
		sum.ReservedServed += o.ReservedServed
	}
	return sum
}
