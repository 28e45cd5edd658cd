package routing

import (
	"math"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	lowQuantile  = 0.1
	midQuantile  = 0.5
	highQuantile = 0.8
	// minObservations is the least number of observations to base an estimate on.
	minObservations = 8
	// defaultLength is the median estimate, in tokens, without observations and
	// without a limit.
	defaultLength = 128
	// fractionScale is the histogram value of a response that uses the caller's
	// whole limit.
	fractionScale = 4096
	// errorDecay is the decay factor of the estimation errors, per observation.
	errorDecay = 0.95
)

// LengthEstimator estimates the output lengths of each team of a pool. It has two
// methods, based on observed lengths and on the fraction of the caller's limit
// that was used, and applies the one with the smaller error so far.
type LengthEstimator struct {
	pool  lengthModel
	teams map[ident.Team]*lengthModel
}

// lengthModel holds the observations of one team or of the whole pool.
type lengthModel struct {
	length   histogram
	fraction histogram
	// lengthError and fractionError are decaying means of the absolute log error
	// of each method.
	lengthError   float64
	fractionError float64
}

// NewLengthEstimator returns an estimator without observations.
func NewLengthEstimator() *LengthEstimator {
	return &LengthEstimator{teams: make(map[ident.Team]*lengthModel)}
}

// Observe records the length of a complete response and the caller's token limit,
// zero if there is none.
func (l *LengthEstimator) Observe(team ident.Team, tokens, limit int) {
	model := l.teams[team]
	if model == nil {
		model = &lengthModel{}
		l.teams[team] = model
	}
	model.observe(tokens, limit)
	l.pool.observe(tokens, limit)
}

// Estimate predicts the total length of a response of which some tokens were
// already streamed.
func (l *LengthEstimator) Estimate(team ident.Team, limit, streamed int) LengthEstimate {
	if model := l.teams[team]; model != nil && model.length.weight() >= minObservations {
		return model.estimate(limit, streamed)
	}
	if l.pool.length.weight() >= minObservations {
		return l.pool.estimate(limit, streamed)
	}
	return defaultEstimate(limit, streamed)
}

// defaultEstimate returns the estimate used without observations.
func defaultEstimate(limit, streamed int) LengthEstimate {
	if limit > 0 {
		return LengthEstimate{Low: 1, Median: max(1, limit/2), High: limit, Mean: max(1, limit/2)}.atLeast(streamed).capped(limit)
	}
	return LengthEstimate{Low: 1, Median: defaultLength, High: 4 * defaultLength, Mean: defaultLength}.atLeast(streamed)
}

// atLeast raises the estimate above the tokens that were already streamed.
func (l LengthEstimate) atLeast(streamed int) LengthEstimate {
	if streamed == 0 {
		return l
	}
	return LengthEstimate{
		Low:    max(l.Low, streamed+1),
		Median: max(l.Median, streamed+streamed/2+1),
		High:   max(l.High, 2*streamed+1),
		Mean:   max(l.Mean, streamed+streamed/2+1),
	}
}

func (m *lengthModel) observe(tokens, limit int) {
	if limit > 0 {
		m.updateErrors(tokens, limit)
		m.fraction.add(fractionScale * float64(tokens) / float64(limit))
	}
	m.length.add(float64(tokens))
}

func (m *lengthModel) updateErrors(tokens, limit int) {
	byLength, ok := m.byLength(limit, 0)
	if !ok {
		return
	}
	byFraction, ok := m.byFraction(limit, 0)
	if !ok {
		return
	}
	m.lengthError = errorDecay*m.lengthError + (1-errorDecay)*logError(byLength.Median, tokens)
	m.fractionError = errorDecay*m.fractionError + (1-errorDecay)*logError(byFraction.Median, tokens)
}

func (m *lengthModel) estimate(limit, streamed int) LengthEstimate {
	if limit > 0 && m.fractionError < m.lengthError {
		if length, ok := m.byFraction(limit, streamed); ok {
			return length.capped(limit)
		}
	}
	if length, ok := m.byLength(limit, streamed); ok {
		return length
	}
	return defaultEstimate(limit, streamed)
}

func (m *lengthModel) byLength(limit, streamed int) (LengthEstimate, bool) {
	length, ok := m.length.quantiles(float64(streamed), lowQuantile, midQuantile, highQuantile)
	return length.capped(limit), ok
}

func (m *lengthModel) byFraction(limit, streamed int) (LengthEstimate, bool) {
	scale := float64(limit) / fractionScale
	fraction, ok := m.fraction.quantiles(float64(streamed)/scale, lowQuantile, midQuantile, highQuantile)
	return LengthEstimate{
		Low:    int(math.Ceil(float64(fraction.Low) * scale)),
		Median: int(math.Ceil(float64(fraction.Median) * scale)),
		High:   int(math.Ceil(float64(fraction.High) * scale)),
		Mean:   int(math.Ceil(float64(fraction.Mean) * scale)),
	}.capped(limit), ok
}

func logError(estimate, actual int) float64 {
	return math.Abs(math.Log(float64(max(1, estimate)) / float64(max(1, actual))))
}
