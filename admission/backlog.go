package admission

import "time"

const (
	// backlogBucketCount and backlogBucketWidth set the span and resolution of
	// a backlog.
	backlogBucketCount = 256
	backlogBucketWidth = 250 * time.Millisecond
	// beyondBacklogSpan is the bucket of a request whose deadline is beyond the
	// span.
	beyondBacklogSpan = -1
)

// backlog sums the expected running time of queued requests, in seconds of one
// slot, by deadline.
type backlog struct {
	total   float64
	count   int
	buckets [backlogBucketCount]float64
}

// add adds a request and returns its bucket.
func (b *backlog) add(now, deadline time.Time, cost float64) int {
	b.total += cost
	b.count++
	bucket := beyondBacklogSpan
	if left := deadline.Sub(now); left < (backlogBucketCount-1)*backlogBucketWidth {
		bucket = bucketOf(deadline)
		b.buckets[bucket] += cost
	}
	return bucket
}

// remove removes a request from the bucket that add returned.
func (b *backlog) remove(bucket int, cost float64) {
	b.count--
	if b.count == 0 {
		*b = backlog{}
		return
	}
	b.total -= cost
	if bucket != beyondBacklogSpan {
		b.buckets[bucket] -= cost
	}
}

// dueBy returns the part of the backlog with deadlines up to the given one.
func (b *backlog) dueBy(now, deadline time.Time) float64 {
	buckets := int(deadline.Sub(now) / backlogBucketWidth)
	if buckets >= backlogBucketCount-1 {
		return b.total
	}
	sum := 0.0
	first := bucketOf(now)
	for i := range max(0, buckets) + 1 {
		sum += b.buckets[(first+i)%backlogBucketCount]
	}
	return sum
}

func bucketOf(at time.Time) int {
	return int(at.UnixMilli()/backlogBucketWidth.Milliseconds()) % backlogBucketCount
}
