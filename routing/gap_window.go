package routing

import "time"

const (
	// gapWindowSpan and gapWindowTokens are the least extent of one window.
	gapWindowSpan   = 200 * time.Millisecond
	gapWindowTokens = 8
)

// gapWindow joins the gaps of all streams of a target over a short time, so that
// the pauses in which the target computes prompts are spread over the tokens
// that they delay.
type gapWindow struct {
	start  time.Time
	tokens int
	took   time.Duration
	batch  int
}

// add takes in so many tokens with a mean gap. It returns the mean gap and the
// mean batch of the window and true when the window is full; a new one begins.
func (w *gapWindow) add(now time.Time, batch, tokens int, gap time.Duration) (time.Duration, float64, bool) {
	if w.tokens == 0 {
		w.start = now
	}
	w.tokens += tokens
	w.took += time.Duration(tokens) * gap
	w.batch += tokens * batch
	if w.tokens < gapWindowTokens || now.Sub(w.start) < gapWindowSpan {
		return 0, 0, false
	}
	mean := w.took / time.Duration(w.tokens)
	meanBatch := float64(w.batch) / float64(w.tokens)
	*w = gapWindow{}
	return mean, meanBatch, true
}
