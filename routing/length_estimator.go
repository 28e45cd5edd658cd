package routing

import "github.com/cornelyard/cornelyard/ident"

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
