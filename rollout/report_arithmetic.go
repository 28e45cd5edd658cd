package rollout

import "maps"

func (r Report) clone() Report { return maps.Clone(r) }

// add adds the counts of other. Keys beyond the bound of a report are left out.
func (r Report) add(other Report) {
	for key, counts := range other {
		sum, known := r[key]
		if !known && len(r) >= maxReportKeys {
			continue
		}
		sum.Add(counts)
		r[key] = sum
	}
}

// since returns what was counted after earlier. Counts that have shrunk, because a sender was
// removed, are left out.
func (r Report) since(earlier Report) Report {
	difference := make(Report, len(r))
	for key, counts := range r {
		if d := counts.since(earlier[key]); d != (Counts{}) {
			difference[key] = d
		}
	}
	return difference
}

// sum returns the counts of a side over all routes.
func (r Report) sum(side Side) Counts {
	var sum Counts
	for key, counts := range r {
		if key.Side == side {
			sum.Add(counts)
		}
	}
	return sum
}

// ended returns the number of runs that say something about their target.
func (c Counts) ended() int { return c.Successes + c.Failures }

func (c Counts) since(earlier Counts) Counts {
	c.Dispatched -= earlier.Dispatched
	c.Successes -= earlier.Successes
	c.Failures -= earlier.Failures
	c.FirstEvents = c.FirstEvents.since(earlier.FirstEvents)
	c.Intervals = c.Intervals.since(earlier.Intervals)
	if min(c.Dispatched, c.Successes, c.Failures) < 0 {
		return Counts{}
	}
	return c
}

func (d Durations) since(earlier Durations) Durations {
	d.Count -= earlier.Count
	d.LogSum -= earlier.LogSum
	d.LogSquares -= earlier.LogSquares
	if d.Count <= 0 {
		return Durations{}
	}
	return d
}
