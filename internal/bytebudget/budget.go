package bytebudget

import (
	"cmp"
	"slices"
	"sync"
)

const (
	// maxHeadroomPart is the largest part of the limit, as a divisor, that is left to more urgent
	// holders.
	maxHeadroomPart = 4
	// maxEvictingPart is the largest part of the limit, as a divisor, that evicted reservations may
	// still hold. It is used twice until they are released.
	maxEvictingPart = 4
)

// Budget is the number of bytes that may be buffered at a time. It is safe for concurrent
// use. A nil Budget has no limit.
type Budget struct {
	limit     int64
	freeBytes int64

	mu sync.Mutex
	// used is what is reserved, and usedBy the same by urgency. Both are without evicting, which
	// is what evicted reservations hold until they are released.
	used     int64
	usedBy   map[Urgency]int64
	evicting int64
	// reading holds the reservations with bytes that may be evicted, oldest first.
	reading []*Reservation
	// wantedBytes is what the most urgent refused request still wants, and wantedBy its urgency.
	wantedBytes int64
	wantedBy    Urgency
	refused     uint64
	evicted     uint64
}

// New returns a budget of limit bytes. Of each reservation the first freeBytes are not
// counted.
func New(limit, freeBytes int64) *Budget {
	return &Budget{limit: limit, freeBytes: freeBytes, usedBy: make(map[Urgency]int64)}
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used + b.evicting
}

// Refused returns how often a reservation could not grow or was evicted. A holder that tries again is
// counted again.
func (b *Budget) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Evicted returns how many reservations were evicted for more urgent ones.
func (b *Budget) Evicted() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evicted
}

// reserve adds n bytes to those of a reservation, unless the limit leaves no room for them even
// if less urgent reservations are evicted. The caller holds b.mu.
func (b *Budget) reserve(r *Reservation, n int64) bool {
	excess := b.used + n - (b.limit - b.headroom(r.urgency))
	if excess > 0 && !b.evict(r.urgency, excess) {
		b.refused++
		b.recordWant(r.urgency, r.held+n)
		return false
	}
	if r.urgency == b.wantedBy {
		b.wantedBytes = max(b.wantedBytes-n, 0)
	}
	if r.held == 0 && r.onEvict != nil {
		b.reading = append(b.reading, r)
	}
	b.add(r, n)
	return true
}

// recordWant records that a request was refused. What it wants is left to requests of its urgency until
// they get it or half of the limit is free.
func (b *Budget) recordWant(u Urgency, bytes int64) {
	switch {
	case b.wantedBytes == 0 || u < b.wantedBy:
		b.wantedBy, b.wantedBytes = u, bytes
	case u == b.wantedBy:
		b.wantedBytes = max(b.wantedBytes, bytes)
	}
}

// headroom returns what reservations of an urgency leave to more urgent ones: as much as those
// hold now, since as much may follow, and what was refused to them. Without either, they may use the
// whole limit.
func (b *Budget) headroom(u Urgency) int64 {
	held := int64(0)
	for other, bytes := range b.usedBy {
		if other < u {
			held += bytes
		}
	}
	if b.wantedBy < u {
		held += b.wantedBytes
	}
	return min(held, b.limit/maxHeadroomPart)
}

// evict evicts reservations that are less urgent than u and may be, the least urgent and of these
// the newest first, until they have held n bytes. If that is not possible, it evicts none. It never
// evicts more than 1/maxEvictingPart of the limit at a time, so that a larger reservation stays. The
// mutex is held, so that no reservation is released or kept meanwhile; onEvict does not block.
func (b *Budget) evict(u Urgency, n int64) bool {
	var candidates []*Reservation
	for _, r := range b.reading {
		if r.urgency > u {
			candidates = append(candidates, r)
		}
	}
	slices.Reverse(candidates)
	slices.SortStableFunc(candidates, func(x, y *Reservation) int { return cmp.Compare(y.urgency, x.urgency) })
	freed, count := int64(0), 0
	for freed < n && count < len(candidates) {
		freed += candidates[count].held
		count++
	}
	if freed < n || b.evicting+freed > b.limit/maxEvictingPart {
		return false
	}
	for _, r := range candidates[:count] {
		r.evicted, r.evictedBytes = true, r.held
		b.evicting += r.held
		b.add(r, -r.held)
		b.stopReading(r)
		r.onEvict()
	}
	b.evicted += uint64(count)
	b.refused += uint64(count)
	return true
}

// add adds n bytes to those that a reservation holds.
func (b *Budget) add(r *Reservation, n int64) {
	r.held += n
	b.used += n
	if b.used <= b.limit/2 {
		b.wantedBytes = 0
	}
	if b.usedBy[r.urgency] += n; b.usedBy[r.urgency] == 0 {
		delete(b.usedBy, r.urgency)
	}
}

// stopReading removes a reservation from those that may be evicted.
func (b *Budget) stopReading(r *Reservation) {
	if i := slices.Index(b.reading, r); i >= 0 {
		b.reading = slices.Delete(b.reading, i, i+1)
	}
}
