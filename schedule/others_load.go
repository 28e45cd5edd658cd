package schedule

// othersLoad is the sum of what the other hosts tell of one target.
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

func (o *othersLoad) add(l *Load) { o.count(l, 1) }

// remove takes out what was added before.
func (o *othersLoad) remove(l *Load) { o.count(l, -1) }

func (o *othersLoad) count(l *Load, sign int) {
	o.Running += sign * l.Running
	o.PrefillTokens += sign * l.PrefillTokens
	o.KVTokens += sign * l.KVTokens
	o.Good += float64(sign) * l.Good
	o.Bad += float64(sign) * l.Bad
	if l.Resting {
		o.resting += sign
	}
	if l.Speeds.PrefillRate > 0 {
		o.speeds.PrefillRate += float64(sign) * l.Speeds.PrefillRate
		o.rates += sign
	}
	if l.Speeds.Pace > 0 {
		o.speeds.Pace += float64(sign) * l.Speeds.Pace
		o.paces += sign
	}
}

// meanSpeeds returns the mean of what the hosts saw.
func (o *othersLoad) meanSpeeds() Speeds {
	return Speeds{
		PrefillRate: mean(o.speeds.PrefillRate, o.rates),
		Pace:        mean(o.speeds.Pace, o.paces),
	}
}

func mean(sum float64, count int) float64 {
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
