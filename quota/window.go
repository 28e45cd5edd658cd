package quota

import "time"

// windowBuckets is the number of buckets that a window is divided into.
const windowBuckets = 80

// window sums usage over a sliding span of time. It counts in buckets, and a bucket
// counts until it lies wholly outside the span.
type window struct {
	bucketLength time.Duration
	bucketStart  time.Time
	current      int
	buckets      [windowBuckets + 1]float64
	sum          float64
}

// newWindow returns a window in which the given amounts are spread evenly over the
// earlier and the later half of the span before now.
func newWindow(now time.Time, span time.Duration, earlier, later float64) *window {
	const half = windowBuckets / 2
	w := &window{bucketLength: span / windowBuckets, bucketStart: now, sum: earlier + later}
	for i := range half {
		// The buckets after the current one are the oldest.
		w.buckets[1+i] = earlier / half
		w.buckets[1+half+i] = later / half
	}
	return w
}

// newEndLoadedWindow returns a window in which the given amounts lie at the end of
// the earlier and the later half of the span. It is used if the times within a half
// are not known: amounts at its end stay in the window longest.
func newEndLoadedWindow(now time.Time, span time.Duration, earlier, later float64) *window {
	w := newWindow(now, span, 0, 0)
	w.buckets[1+windowBuckets/2] = earlier
	w.buckets[w.current] = later
	w.sum = earlier + later
	return w
}

func (w *window) add(amount float64) {
	w.buckets[w.current] += amount
	w.sum += amount
}

// advance moves the window to now and drops expired buckets.
func (w *window) advance(now time.Time) {
	if now.Sub(w.bucketStart) > (windowBuckets+1)*w.bucketLength {
		w.buckets = [windowBuckets + 1]float64{}
		w.sum = 0
		w.bucketStart = now
		return
	}
	for now.Sub(w.bucketStart) >= w.bucketLength {
		w.bucketStart = w.bucketStart.Add(w.bucketLength)
		w.current = (w.current + 1) % len(w.buckets)
		w.sum -= w.buckets[w.current]
		w.buckets[w.current] = 0
	}
}

// timeToFree returns how long it takes until the amount has left the window.
func (w *window) timeToFree(amount float64) time.Duration {
	if amount <= 0 {
		return 0
	}
	for i := 1; i <= len(w.buckets) && amount > 0; i++ {
		amount -= w.buckets[(w.current+i)%len(w.buckets)]
		if amount <= 0 {
			return time.Duration(i) * w.bucketLength
		}
	}
	return time.Duration(len(w.buckets)) * w.bucketLength
}
