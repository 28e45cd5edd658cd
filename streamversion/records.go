package streamversion

import "time"

// maxRecords bounds the streams that are remembered; the oldest are dropped first.
const maxRecords = 1 << 16

// records holds the origins of streams, bounded by age and count.
type records struct {
	origins map[Key]recorded
	// order holds the keys in the order in which they were recorded. A key that was
	// recorded again stands in it more than once.
	order []ordered
}

type recorded struct {
	origin Origin
	at     time.Time
}

type ordered struct {
	key Key
	at  time.Time
}

func newRecords() records { return records{origins: make(map[Key]recorded)} }

// put records an origin. One that is unsure stays so, and one that contradicts another is:
// two streams may have the same key.
func (r *records) put(now time.Time, key Key, origin Origin) {
	if before, known := r.origins[key]; known && before.origin != origin {
		origin.Unsure = true
	}
	r.origins[key] = recorded{origin, now}
	r.order = append(r.order, ordered{key, now})
}

// expire drops the records that are older than the lifetime, and those beyond the bound.
func (r *records) expire(now time.Time, lifetime time.Duration) {
	drop := 0
	for drop < len(r.order) && (now.Sub(r.order[drop].at) > lifetime || len(r.order)-drop > maxRecords) {
		oldest := r.order[drop]
		if r.origins[oldest.key].at.Equal(oldest.at) {
			delete(r.origins, oldest.key)
		}
		drop++
	}
	r.order = r.order[drop:]
}
