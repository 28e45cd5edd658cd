package engine

import "time"

const (
	loadSampleInterval = 10 * time.Millisecond
	maxLoadSamples     = 4096
)

// loadHistory holds past load samples, oldest first.
type loadHistory struct {
	samples []loadSample
}

// record adds a sample. Changes within loadSampleInterval are merged into one sample.
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

// at returns the load at the given time, or the zero value if that precedes all
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
