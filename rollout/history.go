package rollout

import "time"

const (
	// sampleInterval is the time between two samples, and maxSamples bounds their number; the
	// oldest ones are dropped.
	sampleInterval = 250 * time.Millisecond
	maxSamples     = 32
	// reportDelay is how late reports are at most. A rate over less than minReported would be
	// one of a few hosts.
	reportDelay = 500 * time.Millisecond
	minReported = 300 * time.Millisecond
)

// history holds totals of the evidence at earlier times.
type history struct {
	samples []sample
	// arrived is the number of requests last seen, and grownAt when it last grew.
	arrived int
	grownAt time.Time
}

type sample struct {
	at    time.Time
	total Report
}

// record adds the total now.
func (h *history) record(now time.Time, total Report) {
	arrived := total.sum(Old).Dispatched + total.sum(New).Dispatched
	if arrived != h.arrived || h.grownAt.IsZero() {
		h.arrived, h.grownAt = arrived, now
	}
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < sampleInterval {
		return
	}
	if len(h.samples) == maxSamples {
		h.samples = append(h.samples[:0], h.samples[1:]...)
	}
	h.samples = append(h.samples, sample{at: now, total: total.clone()})
}

// before returns the newest sample that is at least age old.
func (h *history) before(now time.Time, age time.Duration) (sample, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if now.Sub(h.samples[i].at) >= age {
			return h.samples[i], true
		}
	}
	return sample{}, false
}

// rate returns the requests that arrive per second: the larger one of the recent rate and
// that since the start, because a rate taken too low would expose too many requests.
func (h *history) rate(now time.Time, elapsed time.Duration) float64 {
	reported := max(elapsed-reportDelay, minReported)
	rate := float64(h.arrived) / reported.Seconds()
	if earlier, ok := h.before(now, time.Second); ok {
		arrived := earlier.total.sum(Old).Dispatched + earlier.total.sum(New).Dispatched
		rate = max(rate, float64(h.arrived-arrived)/now.Sub(earlier.at).Seconds())
	}
	return rate
}
