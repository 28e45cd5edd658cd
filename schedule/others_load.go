package schedule

// othersLoad is the sum of what other hosts tell of one target.
type othersLoad struct {
	Running       int
	PrefillTokens int
	KVTokens      int
	Good          float64
	Bad           float64
	// resting is the number of hosts that send it nothing.
	resting int

	// speeds sums up what was seen, and counts by how many hosts.
	speeds Speeds
	rates  int
	paces  int
}

// sign says whether something is added to a sum or taken out again.
type sign int

const (
	added   sign = 1
	removed sign = -1
)

func (o *othersLoad) count(l *TargetLoad, sign sign) {
	o.Running += int(sign) * l.Running
	o.PrefillTokens += int(sign) * l.PrefillTokens
	o.KVTokens += int(sign) * l.KVTokens
}

func (o *othersLoad) observe(seen *Observation, sign sign) {
	o.Good += float64(sign) * seen.Successes
	o.Bad += float64(sign) * seen.Failures
	if seen.Ejected {
		o.resting += int(sign)
	}
	if seen.Speeds.PrefillRate > 0 {
		o.speeds.PrefillRate += float64(sign) * seen.Speeds.PrefillRate
		o.rates += int(sign)
	}
	if seen.Speeds.EventInterval > 0 {
		o.speeds.EventInterval += float64(sign) * seen.Speeds.EventInterval
		o.paces += int(sign)
	}
}

// meanSpeeds returns the mean of what the hosts saw.
func (o *othersLoad) meanSpeeds() Speeds {
	return Speeds{
		PrefillRate:   mean(o.speeds.PrefillRate, o.rates),
		EventInterval: mean(o.speeds.EventInterval, o.paces),
	}
}

func mean(sum float64, count int) float64 {
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
