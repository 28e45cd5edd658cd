package routing

import "time"

const (
	defaultPrefillBase  = 0.02    // seconds
	defaultPrefillSlope = 0.00005 // seconds per token
	defaultGapBase      = 0.015   // seconds
	defaultGapSlope     = 0.0005  // seconds per request in the batch

	prefillScale = 1000 // tokens
	batchScale   = 8    // requests

	priorWeight   = 1.0
	prefillForget = 0.95
	gapForget     = 0.97

	// matureWeight is the number of observations from which on an outlier counts
	// as a slowdown rather than as news about the usual speed.
	matureWeight   = 12
	outlierRatio   = 2.5
	outlierWeight  = 0.02
	minPrediction  = 0.0001 // seconds
	minGapReported = 20 * time.Microsecond
)

// Estimator learns how fast one target, or a whole pool, computes prompts and
// tokens.
type Estimator struct {
	prefill     *LinearFit
	gap         *LinearFit
	prefillSlow Slowdown
	gapSlow     Slowdown
	gapWindow   gapWindow
}

// NewEstimator returns an estimator that knows nothing yet.
func NewEstimator() *Estimator {
	return &Estimator{
		prefill: NewLinearFit(LinearFitOptions{
			Base:        defaultPrefillBase,
			Slope:       defaultPrefillSlope,
			Scale:       prefillScale,
			PriorWeight: priorWeight,
			Decay:       prefillForget,
		}),
		gap: NewLinearFit(LinearFitOptions{
			Base:        defaultGapBase,
			Slope:       defaultGapSlope,
			Scale:       batchScale,
			PriorWeight: priorWeight,
			Decay:       gapForget,
		}),
	}
}

// SetPriorFrom makes another estimator's knowledge the prior of this one.
func (e *Estimator) SetPriorFrom(other *Estimator) {
	e.prefill.SetPrior(other.prefill.Base, other.prefill.Slope)
	e.gap.SetPrior(other.gap.Base, other.gap.Slope)
}

// Calibrated says whether enough was observed to refuse requests on a prediction.
func (e *Estimator) Calibrated() bool {
	return e.prefill.Weight() >= matureWeight/2
}

// ObservePrefill takes in the time that the tokens took, from dispatch to the
// first token. The tokens include those that were waiting before.
func (e *Estimator) ObservePrefill(now time.Time, tokens int, took time.Duration) {
	observe(e.prefill, &e.prefillSlow, now, float64(tokens), took.Seconds())
}

// ObservePrefillWait takes in that the tokens have taken so long without end.
func (e *Estimator) ObservePrefillWait(now time.Time, tokens int, waited time.Duration) {
	observeWait(e.prefill, &e.prefillSlow, now, float64(tokens), waited.Seconds())
}

// ObserveGap takes in so many tokens of one stream, the mean time between them
// and the number of requests in the batch.
func (e *Estimator) ObserveGap(now time.Time, batch, tokens int, gap time.Duration) {
	if gap < minGapReported || tokens <= 0 {
		return
	}
	mean, meanBatch, full := e.gapWindow.add(now, batch, tokens, gap)
	if full {
		observe(e.gap, &e.gapSlow, now, meanBatch, mean.Seconds())
	}
}

// ObserveGapWait takes in that the next token has not come for so long.
func (e *Estimator) ObserveGapWait(now time.Time, batch int, waited time.Duration) {
	observeWait(e.gap, &e.gapSlow, now, float64(batch), waited.Seconds())
}

// Prefill predicts the time to the first token.
func (e *Estimator) Prefill(now time.Time, tokens int) time.Duration {
	return seconds(e.prefill.At(float64(tokens)) * e.prefillSlow.At(now))
}

// Gap predicts the time between tokens.
func (e *Estimator) Gap(now time.Time, batch int) time.Duration {
	return seconds(e.gap.At(float64(batch)) * e.gapSlow.At(now))
}

// PrefillRate returns the learned rate in prompt tokens a second.
func (e *Estimator) PrefillRate(now time.Time) float64 {
	return 1 / max(1e-9, e.prefill.Slope*e.prefillSlow.At(now))
}

func observe(line *LinearFit, slow *Slowdown, now time.Time, x, y float64) {
	usual := max(minPrediction, line.At(x))
	ratio := y / usual
	weight := 1.0
	if line.Weight() >= matureWeight {
		slow.Observe(now, ratio)
		if ratio > outlierRatio || ratio < 1/outlierRatio {
			weight = outlierWeight
		}
	}
	line.Observe(x, y, weight)
}

func observeWait(line *LinearFit, slow *Slowdown, now time.Time, x, y float64) {
	if line.Weight() < matureWeight {
		return
	}
	slow.ObserveAtLeast(now, y/max(minPrediction, line.At(x)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
