package schedule

// peerAggregate is the sum of what other hosts tell of one target.
type peerAggregate struct {
	Running       int
	PrefillTokens int
	KVTokens      int
	Successes     float64
	Failures      float64
	// ejectingHosts is the number of hosts that send it nothing.
	ejectingHosts int

	// speedSums sums up what was seen, and counts by how many hosts.
	speedSums          Speeds
	prefillRateHosts   int
	eventIntervalHosts int
}

// sign says whether something is added to a sum or taken out again.
type sign int

const (
	added   sign = 1
	removed sign = -1
)

func (o *peerAggregate) addLoad(l *TargetLoad, sign sign) {
	o.Running += int(sign) * l.Running
	o.PrefillTokens += int(sign) * l.PrefillTokens
	o.KVTokens += int(sign) * l.KVTokens
}

func (o *peerAggregate) addObservation(seen *Observation, sign sign) {
	o.Successes += float64(sign) * seen.Successes
	o.Failures += float64(sign) * seen.Failures
	if seen.Ejected {
		o.ejectingHosts += int(sign)
	}
	if seen.Speeds.PrefillRate > 0 {
		o.speedSums.PrefillRate += float64(sign) * seen.Speeds.PrefillRate
		o.prefillRateHosts += int(sign)
	}
	if seen.Speeds.EventInterval > 0 {
		o.speedSums.EventInterval += float64(sign) * seen.Speeds.EventInterval
		o.eventIntervalHosts += int(sign)
	}
}

// meanSpeeds returns the mean of what the hosts saw.
func (o *peerAggregate) meanSpeeds() Speeds {
	return Speeds{
		PrefillRate:   mean(o.speedSums.PrefillRate, o.prefillRateHosts),
		EventInterval: mean(o.speedSums.EventInterval, o.eventIntervalHosts),
	}
}

func mean(sum float64, count int) float64 {
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
