package recovery

import (
	"slices"
	"time"
)

// Figures holds the measured times for one kind of failure, in milliseconds.
type Figures struct {
	Failure string `json:"failure"`
	// Baseline describes the same step without the failure.
	Baseline string    `json:"baseline"`
	Before   []float64 `json:"beforeMilliseconds"`
	After    []float64 `json:"afterMilliseconds"`
	Median   float64   `json:"medianMilliseconds"`
	Longest  float64   `json:"longestMilliseconds"`
	// Ratio is the median of After divided by that of Before.
	Ratio float64 `json:"ratio"`
}

func (f *Figures) computeSummary() {
	f.Median = median(f.After)
	f.Longest = slices.Max(f.After)
	if before := median(f.Before); before > 0 {
		f.Ratio = f.Median / before
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
