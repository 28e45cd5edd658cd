package routing

import "time"

// Score ranks the targets that pass the filters; the lowest score is the best.
// The router has matched the work's prefix before it calls Score.
type Score interface {
	Score(now time.Time, w *Work, t *Target) float64
}
