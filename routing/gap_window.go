package routing

import "time"

const (
	// A window is complete when it has reached both minimums.
	minGapWindowDuration = 200 * time.Millisecond
	minGapWindowTokens   = 8
)

// gapWindow averages the token gaps of all streams of a target over a short
// window, so that a pause for the prefill of another request is spread over all
// tokens that it delays.
type gapWindow struct {
	start    time.Time
	tokens   int
	gapSum   time.Duration
	batchSum int
}

// add records tokens with a mean gap. When the window is complete, it returns the
// window's mean gap, mean batch size and true, and starts a new window.
func (w *gapWindow) add(now time.Time, batch, tokens int, gap time.Duration) (time.Duration, float64, bool) {
	if w.tokens == 0 {
		w.start = now
	}
	w.tokens += tokens
	w.gapSum += time.Duration(tokens) * gap
	w.batchSum += tokens * batch
	if w.tokens < minGapWindowTokens || now.Sub(w.start) < minGapWindowDuration {
		return 0, 0, false
	}
	mean := w.gapSum / time.Duration(w.tokens)
	meanBatch := float64(w.batchSum) / float64(w.tokens)
	*w = gapWindow{}
	return mean, meanBatch, true
}
