package routing

import "math"

const (
	// bucketsPerOctave sets the resolution of lengths: about a fifth.
	bucketsPerOctave = 4
	lengthBuckets    = 20 * bucketsPerOctave
	histogramForget  = 0.995
	histogramRescale = 1e12
)

// histogram counts lengths in geometric buckets, forgetting old ones.
type histogram struct {
	counts [lengthBuckets]float64
	total  float64
	// unit is the weight of the next observation; it grows in place of all
	// counts shrinking.
	unit float64
}

func (h *histogram) add(length float64) {
	if h.unit == 0 {
		h.unit = 1
	}
	h.counts[lengthBucket(length)] += h.unit
	h.total += h.unit
	h.unit /= histogramForget
	if h.unit > histogramRescale {
		h.rescale()
	}
}

func (h *histogram) rescale() {
	for i := range h.counts {
		h.counts[i] /= h.unit
	}
	h.total /= h.unit
	h.unit = 1
}

// weight returns the number of remembered observations.
func (h *histogram) weight() float64 {
	if h.unit == 0 {
		return 0
	}
	return h.total / h.unit
}

// quantiles returns the lengths below which the parts low, mid and high of the
// observations above the floor lie, and their mean. It reports false if there is
// none above.
func (h *histogram) quantiles(floor, low, mid, high float64) (LengthEstimate, bool) {
	start := 0
	if floor >= 1 {
		start = lengthBucket(floor) + 1
	}
	above, weighted := 0.0, 0.0
	for i := start; i < lengthBuckets; i++ {
		above += h.counts[i]
		weighted += h.counts[i] * bucketLength[i]
	}
	if above < h.unit*0.5 || above == 0 {
		return LengthEstimate{}, false
	}
	result := LengthEstimate{Mean: int(math.Ceil(weighted / above))}
	sum := 0.0
	for i := start; i < lengthBuckets; i++ {
		sum += h.counts[i]
		length := int(math.Ceil(bucketLength[i]))
		if result.Low == 0 && sum >= low*above {
			result.Low = length
		}
		if result.Median == 0 && sum >= mid*above {
			result.Median = length
		}
		if sum >= high*above {
			result.High = length
			break
		}
	}
	return result, true
}

func lengthBucket(length float64) int {
	if length <= 1 {
		return 0
	}
	return min(lengthBuckets-1, int(math.Round(math.Log2(length)*bucketsPerOctave)))
}

// bucketLength holds the length that stands for each bucket.
var bucketLength = func() [lengthBuckets]float64 {
	var lengths [lengthBuckets]float64
	for i := range lengths {
		lengths[i] = math.Exp2(float64(i) / bucketsPerOctave)
	}
	return lengths
}()
