package bytebudget

import "sync/atomic"

// Budget is the number of bytes that may be buffered at a time. It is safe for concurrent
// use. A nil Budget has no limit.
type Budget struct {
	limit     int64
	freeBytes int64
	used      atomic.Int64
	refused   atomic.Uint64
}

// New returns a budget of limit bytes. Of each reservation the first freeBytes are not
// counted.
func New(limit, freeBytes int64) *Budget {
	return &Budget{limit: limit, freeBytes: freeBytes}
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how often a reservation was refused.
func (b *Budget) Refused() uint64 { return b.refused.Load() }

// reserve adds n bytes to those in use, unless that would exceed the limit.
func (b *Budget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	b.refused.Add(1)
	return false
}

func (b *Budget) release(n int64) { b.used.Add(-n) }
