package routing

import (
	"math"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	lowQuantile  = 0.1
	midQuantile  = 0.5
	highQuantile = 0.8
	// minLengths is the number of observations from which on they are trusted.
	minLengths = 8
	// defaultLength is the estimate without any observation or limit, in tokens.
	defaultLength = 128
	// partScale is the length that stands for the whole of the caller's limit in
	// the histogram of parts.
	partScale = 4096
	// errorForget is the factor on earlier errors of a method of estimation.
	errorForget = 0.95
)

// LengthEstimator estimates the lengths of answers for each team of a pool, from the
// lengths seen and from the part of the callers' limits that was used; the
// method that erred less is believed.
type LengthEstimator struct {
	pool  teamLengths
	teams map[ident.Team]*teamLengths
}

// teamLengths holds what was seen of one team.
type teamLengths struct {
	length histogram
	part   histogram
	// lengthError and partError are mean absolute errors of logarithms.
	lengthError float64
	partError   float64
}

// NewLengthEstimator returns an estimator that has seen nothing.
func NewLengthEstimator() *LengthEstimator {
	return &LengthEstimator{teams: make(map[ident.Team]*teamLengths)}
}

// Observe takes in the length of a whole answer and the caller's limit, or zero.
func (l *LengthEstimator) Observe(team ident.Team, tokens, limit int) {
	own := l.teams[team]
	if own == nil {
		own = &teamLengths{}
		l.teams[team] = own
	}
	own.observe(tokens, limit)
	l.pool.observe(tokens, limit)
}

// Estimate returns the length of an answer that has so many tokens already.
func (l *LengthEstimator) Estimate(team ident.Team, limit, streamed int) LengthEstimate {
	if own := l.teams[team]; own != nil && own.length.weight() >= minLengths {
		return own.estimate(limit, streamed)
	}
	if l.pool.length.weight() >= minLengths {
		return l.pool.estimate(limit, streamed)
	}
	return unknownLength(limit, streamed)
}

// unknownLength is the estimate without observations.
func unknownLength(limit, streamed int) LengthEstimate {
	if limit > 0 {
		return LengthEstimate{Low: 1, Median: max(1, limit/2), High: limit, Mean: max(1, limit/2)}.above(streamed).capped(limit)
	}
	return LengthEstimate{Low: 1, Median: defaultLength, High: 4 * defaultLength, Mean: defaultLength}.above(streamed)
}

// above raises the estimate to what is known to be reached.
func (l LengthEstimate) above(streamed int) LengthEstimate {
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

func (t *teamLengths) observe(tokens, limit int) {
	if limit > 0 {
		t.learnErrors(tokens, limit)
		t.part.add(partScale * float64(tokens) / float64(limit))
	}
	t.length.add(float64(tokens))
}

func (t *teamLengths) learnErrors(tokens, limit int) {
	byLength, ok := t.byLength(limit, 0)
	if !ok {
		return
	}
	byPart, ok := t.byPart(limit, 0)
	if !ok {
		return
	}
	t.lengthError = errorForget*t.lengthError + (1-errorForget)*logError(byLength.Median, tokens)
	t.partError = errorForget*t.partError + (1-errorForget)*logError(byPart.Median, tokens)
}

func (t *teamLengths) estimate(limit, streamed int) LengthEstimate {
	if limit > 0 && t.partError < t.lengthError {
		if length, ok := t.byPart(limit, streamed); ok {
			return length.capped(limit)
		}
	}
	if length, ok := t.byLength(limit, streamed); ok {
		return length
	}
	return unknownLength(limit, streamed)
}

func (t *teamLengths) byLength(limit, streamed int) (LengthEstimate, bool) {
	length, ok := t.length.quantiles(float64(streamed), lowQuantile, midQuantile, highQuantile)
	return length.capped(limit), ok
}

func (t *teamLengths) byPart(limit, streamed int) (LengthEstimate, bool) {
	unit := float64(limit) / partScale
	part, ok := t.part.quantiles(float64(streamed)/unit, lowQuantile, midQuantile, highQuantile)
	return LengthEstimate{
		Low:    int(math.Ceil(float64(part.Low) * unit)),
		Median: int(math.Ceil(float64(part.Median) * unit)),
		High:   int(math.Ceil(float64(part.High) * unit)),
		Mean:   int(math.Ceil(float64(part.Mean) * unit)),
	}.capped(limit), ok
}

func logError(estimate, actual int) float64 {
	return math.Abs(math.Log(float64(max(1, estimate)) / float64(max(1, actual))))
}
