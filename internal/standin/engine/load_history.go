package engine

import "time"

const (
	loadSampleInterval = 10 * time.Millisecond
	maxLoadSamples     = 4096
)

type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// loadHistory keeps what the load was, oldest first.
type loadHistory struct {
	samples []loadSample
}

// note adds the load at now. Changes within one sample interval are merged.
func (h *loadHistory) record(now time.Time, running, waiting int) {
	sample := loadSample{at: now, running: running, waiting: waiting}
	if last := len(h.samples) - 1; last >= 0 && now.Sub(h.samples[last].at) < loadSampleInterval {
		sample.at = h.samples[last].at
		h.samples[last] = sample
		return
	}
	h.samples = append(h.samples, sample)
	if len(h.samples) > maxLoadSamples {
		h.samples = h.samples[len(h.samples)-maxLoadSamples:]
	}
}

// at returns the load as it was at the time, or the zero load before all
// samples.
func (h *loadHistory) at(then time.Time) Load {
	var load Load
	for _, sample := range h.samples {
		if sample.at.After(then) {
			break
		}
		load = Load{Running: sample.running, Waiting: sample.waiting}
	}
	return load
}
