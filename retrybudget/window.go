package retrybudget

import "time"

// retryBuckets is the number of buckets over which retries count. As the current bucket is
// partial, one more than the window has is needed for the whole window.
const retryBuckets = windowBuckets + 1

// window counts events over a sliding span of time, in buckets. Retries count for at least the
// window, requests for at most the window.
type window struct {
	bucketLength time.Duration
	bucketStart  time.Time
	current      int
	buckets      [retryBuckets]bucket
	// reserved is the number of retries that are allowed, but not dispatched yet.
	reserved float64
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
	if now.Sub(w.bucketStart) > retryBuckets*w.bucketLength {
		w.buckets = [retryBuckets]bucket{}
		w.bucketStart = now
		return
	}
	for now.Sub(w.bucketStart) >= w.bucketLength {
		w.bucketStart = w.bucketStart.Add(w.bucketLength)
		w.current = (w.current + 1) % retryBuckets
		w.buckets[w.current] = bucket{}
	}
}

// sums returns the requests and the retries that count now.
func (w *window) sums() (requests, retries float64) {
	oldest := (w.current + 1) % retryBuckets
	for i, b := range w.buckets {
		if i != oldest {
			requests += b.requests
		}
		retries += b.retries
	}
	return requests, retries
}

// release ends a reservation. There is none left if the counts have restarted since.
func (w *window) release() { w.reserved = max(w.reserved-1, 0) }
