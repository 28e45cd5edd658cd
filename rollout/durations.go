package rollout

import (
	"math"
	"time"
)

// Durations summarizes measured durations by their logarithms, so that a version that is
// slower by a factor shows on short and long requests alike.
type Durations struct {
	Count int
	// LogSum and LogSquares are the sums of the natural logarithms of the durations in
	// milliseconds, and of their squares.
	LogSum     float64
	LogSquares float64
}

// Record adds a duration. Durations below a microsecond count as one.
func (d *Durations) Record(measured time.Duration) {
	log := math.Log(max(measured, time.Microsecond).Seconds() * 1000)
	d.Count++
	d.LogSum += log
	d.LogSquares += log * log
}

// Add adds the durations of other.
func (d *Durations) Add(other Durations) {
	d.Count += other.Count
	d.LogSum += other.LogSum
	d.LogSquares += other.LogSquares
}
