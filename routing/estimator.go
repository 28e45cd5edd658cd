package routing

import "time"

const (
	defaultPrefillBase  = 0.02    // seconds
	defaultPrefillSlope = 0.00005 // seconds per token
	defaultGapBase      = 0.015   // seconds
	defaultGapSlope     = 0.0005  // seconds per request in the batch

	prefillScale = 1000 // tokens
	batchScale   = 8    // requests

	priorWeight  = 1.0
	prefillDecay = 0.95
	gapDecay     = 0.97

	// calibratedWeight is the number of observations from which an outlier counts
	// as a temporary slowdown and hardly changes the fitted speed.
	calibratedWeight = 12
	outlierRatio     = 2.5
	outlierWeight    = 0.02
	minPrediction    = 0.0001 // seconds
	minObservedGap   = 20 * time.Microsecond
)

// Estimator learns the prefill time and the inter-token gap of one target or of
// a whole pool.
type Estimator struct {
	prefill         *LinearFit
	gap             *LinearFit
	prefillSlowdown Slowdown
	gapSlowdown     Slowdown
	gapWindow       gapWindow
}

// NewEstimator returns an estimator without observations, at its default prior.
func NewEstimator() *Estimator {
	return &Estimator{
		prefill: NewLinearFit(LinearFitOptions{
			Base:        defaultPrefillBase,
			Slope:       defaultPrefillSlope,
			Scale:       prefillScale,
			PriorWeight: priorWeight,
			Decay:       prefillDecay,
		}),
		gap: NewLinearFit(LinearFitOptions{
			Base:        defaultGapBase,
			Slope:       defaultGapSlope,
			Scale:       batchScale,
			PriorWeight: priorWeight,
			Decay:       gapDecay,
		}),
	}
}

// SetPriorFrom uses the other estimator's fit as the prior of this one.
func (e *Estimator) SetPriorFrom(other *Estimator) {
	e.prefill.SetPrior(other.prefill.Base, other.prefill.Slope)
	e.gap.SetPrior(other.gap.Base, other.gap.Slope)
}

// Calibrated reports whether there are enough observations to refuse requests on
// the basis of a prediction.
func (e *Estimator) Calibrated() bool {
	return e.prefill.Weight() >= calibratedWeight/2
}

// ObservePrefill records the time from dispatch to the first token. The tokens
// include the prompt tokens that were already pending at dispatch.
func (e *Estimator) ObservePrefill(now time.Time, tokens int, took time.Duration) {
	observe(e.prefill, &e.prefillSlowdown, now, float64(tokens), took.Seconds())
}

// ObservePrefillWait records that the prefill of the tokens has taken at least
// waited and has not finished.
func (e *Estimator) ObservePrefillWait(now time.Time, tokens int, waited time.Duration) {
	observeWait(e.prefill, &e.prefillSlowdown, now, float64(tokens), waited.Seconds())
}

// ObserveGap records tokens of one stream: their number, the mean gap between
// them and the number of requests in the batch.
func (e *Estimator) ObserveGap(now time.Time, batch, tokens int, gap time.Duration) {
	if gap < minObservedGap || tokens <= 0 {
		return
	}
	mean, meanBatch, full := e.gapWindow.add(now, batch, tokens, gap)
	if full {
		observe(e.gap, &e.gapSlowdown, now, meanBatch, mean.Seconds())
	}
}

// ObserveGapWait records that the next token has been outstanding for waited.
func (e *Estimator) ObserveGapWait(now time.Time, batch int, waited time.Duration) {
	observeWait(e.gap, &e.gapSlowdown, now, float64(batch), waited.Seconds())
}

// Prefill predicts the time to the first token.
func (e *Estimator) Prefill(now time.Time, tokens int) time.Duration {
	return seconds(e.prefill.At(float64(tokens)) * e.prefillSlowdown.At(now))
}

// Gap predicts the time between tokens for a batch size.
func (e *Estimator) Gap(now time.Time, batch int) time.Duration {
	return seconds(e.gap.At(float64(batch)) * e.gapSlowdown.At(now))
}

// PrefillRate returns the learned prefill rate in prompt tokens per second.
func (e *Estimator) PrefillRate(now time.Time) float64 {
	return 1 / max(1e-9, e.prefill.Slope*e.prefillSlowdown.At(now))
}

func observe(line *LinearFit, slowdown *Slowdown, now time.Time, x, y float64) {
	usual := max(minPrediction, line.At(x))
	ratio := y / usual
	weight := 1.0
	if line.Weight() >= calibratedWeight {
		slowdown.Observe(now, ratio)
		if ratio > outlierRatio || ratio < 1/outlierRatio {
			weight = outlierWeight
		}
	}
	line.Observe(x, y, weight)
}

func observeWait(line *LinearFit, slowdown *Slowdown, now time.Time, x, y float64) {
	if line.Weight() < calibratedWeight {
		return
	}
	slowdown.ObserveAtLeast(now, y/max(minPrediction, line.At(x)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
