package loadmodel

import "math"

// The sizes of requests: those below the largest three tenths, the fifth below the largest tenth,
// and the largest tenth of a class by the length of the output.
const (
	UsualSize = iota
	LargeSize
	LargestSize
	sizes
)

// SizeOutcome counts the requests of one size.
type SizeOutcome struct {
	Arrived int
	Served  int
}

// ServedRatio returns the fraction of requests that were served.
func (o SizeOutcome) ServedRatio() float64 { return float64(o.Served) / float64(max(o.Arrived, 1)) }

const (
	// largeQuantile and largestQuantile are the standard normal deviates above which three tenths
	// and a tenth of all values lie.
	largeQuantile   = 0.5244
	largestQuantile = 1.2816
)

// sizeOf returns the size of a request with the given output among those of its class.
func (c *RequestClass) sizeOf(output int) int {
	if c.OutputSpread == 0 {
		return UsualSize
	}
	deviate := (math.Log(float64(output)/float64(c.Output)) + c.OutputSpread*c.OutputSpread/2) / c.OutputSpread
	switch {
	case deviate > largestQuantile:
		return LargestSize
	case deviate > largeQuantile:
		return LargeSize
	default:
		return UsualSize
	}
}
