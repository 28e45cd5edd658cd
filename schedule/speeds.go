package schedule

import (
	"math"
	"time"
)

// Speeds holds the measured speeds of a target. Zero values mean that nothing was
// measured.
type Speeds struct {
	// PrefillRate is the number of prompt tokens processed per second.
	PrefillRate float64
	// EventInterval is the mean time between the events of a stream, in seconds.
	EventInterval float64
}

const (
	// targetSampleWeight is the least weight of a new sample in the means of a target.
	targetSampleWeight = 0.2
	// maxEvidence is the number of samples from which on a new one has the least weight.
	maxEvidence = 1/targetSampleWeight - 1
	// evidenceHalfLife is the time after which a sample of a speed counts half.
	evidenceHalfLife = 30 * time.Second
	// minEvidence is the least evidence for which a speed is reported to other hosts.
	minEvidence = 0.25
	// minSampleCertainty is the least weight of a sample, relative to one that was taken while
	// the state of the machine was known. Such samples count at all so that targets whose state
	// is seldom known are measured too.
	minSampleCertainty = 0.25
)

func updateSpeed(mean *float64, observed float64) {
	if *mean == 0 {
		*mean = observed
		return
	}
	updateEWMA(mean, observed, targetSampleWeight)
}

// speedEvidence counts the samples of a speed, of which older ones count less.
type speedEvidence struct {
	samples   float64
	updatedAt time.Time
}

// count returns the decayed number of samples.
func (e speedEvidence) count(now time.Time) float64 {
	if e.samples == 0 {
		return 0
	}
	return e.samples * math.Exp2(-now.Sub(e.updatedAt).Seconds()/evidenceHalfLife.Seconds())
}

// update adds a sample to a mean. The first samples have the same weight; later ones have
// targetSampleWeight. A sample with less certainty counts less.
func (e *speedEvidence) update(now time.Time, mean *float64, observed, certainty float64) {
	before := e.count(now)
	certainty = max(certainty, minSampleCertainty)
	e.samples, e.updatedAt = min(before+certainty, maxEvidence), now
	if *mean == 0 {
		*mean = observed
		return
	}
	updateEWMA(mean, observed, certainty/(before+certainty))
}

// combine returns the mean of a speed over the samples of this host and the means of other hosts,
// each of which counts as one sample. It returns zero if there are none.
func (e speedEvidence) combine(now time.Time, own, peerSum float64, peers int) float64 {
	if own == 0 {
		return mean(peerSum, peers)
	}
	count := max(e.count(now), math.SmallestNonzeroFloat32)
	return (own*count + peerSum) / (count + float64(peers))
}
