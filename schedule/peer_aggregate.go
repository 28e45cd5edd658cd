package schedule

// peerAggregate is the total of what the other hosts report about one target.
type peerAggregate struct {
	Running       int
	PrefillTokens int
	KVTokens      int
	Successes     float64
	Failures      float64
	// ejectingHosts is the number of hosts that have ejected the target.
	ejectingHosts int

	// speedSums holds the sums of the reported speeds; prefillRateHosts and
	// eventIntervalHosts count the hosts that reported each.
	speedSums          Speeds
	prefillRateHosts   int
	eventIntervalHosts int
}

// sign says whether a report is added to a total or subtracted from it.
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

func (o *peerAggregate) addObservation(observation *Observation, sign sign) {
	o.Successes += float64(sign) * observation.Successes
	o.Failures += float64(sign) * observation.Failures
	if observation.Ejected {
		o.ejectingHosts += int(sign)
	}
	if observation.Speeds.PrefillRate > 0 {
		o.speedSums.PrefillRate += float64(sign) * observation.Speeds.PrefillRate
		o.prefillRateHosts += int(sign)
	}
	if observation.Speeds.EventInterval > 0 {
		o.speedSums.EventInterval += float64(sign) * observation.Speeds.EventInterval
		o.eventIntervalHosts += int(sign)
	}
}

// meanSpeeds returns the mean of the speeds that the hosts reported.
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
