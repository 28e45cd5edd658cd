package retrybudget

import "time"

// window counts events over a sliding span of time, in buckets.
type window struct {
	bucketLength time.Duration
	bucketStart  time.Time
	current      int
	buckets      [windowBuckets]bucket
}

type bucket struct {
	requests float64
	retries  float64
}

func (w *window) currentBucket() *bucket { return &w.buckets[w.current] }

// advance moves the window to now and drops expired buckets.
func (w *window) advance(now time.Time) {
	if w.bucketLength <= 0 {
		return
	}
	if now.Sub(w.bucketStart) > windowBuckets*w.bucketLength {
		w.buckets = [windowBuckets]bucket{}
		w.bucketStart = now
		return
	}
	for now.Sub(w.bucketStart) >= w.bucketLength {
		w.bucketStart = w.bucketStart.Add(w.bucketLength)
		w.current = (w.current + 1) % windowBuckets
		w.buckets[w.current] = bucket{}
	}
}

func (w *window) sums() (requests, retries float64) {
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	return requests, retries
}
