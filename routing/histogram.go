package routing

import "math"

const (
	// bucketsPerOctave gives a resolution of about 20%.
	bucketsPerOctave = 4
	lengthBuckets    = 20 * bucketsPerOctave
	histogramDecay   = 0.995
	rescaleThreshold = 1e12
)

// histogram counts lengths in geometric buckets with exponential decay.
type histogram struct {
	counts [lengthBuckets]float64
	total  float64
	// nextWeight is the weight of the next observation. It grows with each
	// observation, which saves scaling down all counts.
	nextWeight float64
}

func (h *histogram) add(length float64) {
	if h.nextWeight == 0 {
		h.nextWeight = 1
	}
	h.counts[lengthBucket(length)] += h.nextWeight
	h.total += h.nextWeight
	h.nextWeight /= histogramDecay
	if h.nextWeight > rescaleThreshold {
		h.rescale()
	}
}

func (h *histogram) rescale() {
	for i := range h.counts {
		h.counts[i] /= h.nextWeight
	}
	h.total /= h.nextWeight
	h.nextWeight = 1
}

// weight returns the decayed number of observations.
func (h *histogram) weight() float64 {
	if h.nextWeight == 0 {
		return 0
	}
	return h.total / h.nextWeight
}

// quantiles returns the low, mid and high quantiles (each from 0 to 1) and the
// mean of the observations above the floor. It returns false if too few
// observations are above it.
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
	if above < h.nextWeight*0.5 || above == 0 {
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

// bucketLength holds the representative length of each bucket.
var bucketLength = func() [lengthBuckets]float64 {
	var lengths [lengthBuckets]float64
	for i := range lengths {
		lengths[i] = math.Exp2(float64(i) / bucketsPerOctave)
	}
	return lengths
}()
