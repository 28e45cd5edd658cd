package routing

import "math"

// lengthModel holds the observations of one team or of the whole pool.
type lengthModel struct {
	length   histogram
	fraction histogram
	// lengthError and fractionError are decaying means of the absolute log error
	// of each method.
	lengthError   float64
	fractionError float64
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
