package retrybudget

import "time"

// window counts over a sliding span, in steps.
type window struct {
	step   time.Duration
	begun  time.Time
	at     int
	counts [buckets]count
}

// count is what happened in one step.
type count struct {
	first   float64
	repeats float64
}

func (w *window) current() *count { return &w.counts[w.at] }

// advance begins new steps up to now.
func (w *window) advance(now time.Time) {
	if w.step <= 0 {
		return
	}
	if now.Sub(w.begun) > buckets*w.step {
		w.counts = [buckets]count{}
		w.begun = now
		return
	}
	for now.Sub(w.begun) >= w.step {
		w.begun = w.begun.Add(w.step)
		w.at = (w.at + 1) % buckets
		w.counts[w.at] = count{}
	}
}

func (w *window) sums() (first, repeats float64) {
	for _, c := range w.counts {
		first += c.first
		repeats += c.repeats
	}
	return first, repeats
}
