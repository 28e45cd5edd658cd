package bytebudget

import "io"

// growthBytes is the step by which a reservation grows.
const growthBytes = 16 << 10

// Reservation is the part of a budget that one request uses. It must be released. It is
// not safe for concurrent use.
type Reservation struct {
	budget  *Budget
	urgency Urgency
	// onEvict is called when the reservation is evicted. It is nil if that may not happen.
	onEvict func()

	// The budget's mutex guards what follows. evictedBytes is what the reservation held when it
	// was evicted.
	held         int64
	evicted      bool
	evictedBytes int64
}

// Reserve returns an empty reservation of the greatest urgency.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// ReserveEvictable returns an empty reservation that may be evicted for more urgent ones until Keep
// is called. Then onEvict is called, which must not block or use the budget; the holder must release
// the reservation at once.
func (b *Budget) ReserveEvictable(u Urgency, onEvict func()) *Reservation {
	return &Reservation{budget: b, urgency: u, onEvict: onEvict}
}

// Keep makes sure that the reservation is not evicted any more. It returns false if it was.
func (r *Reservation) Keep() bool {
	if r.budget == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.stopReading(r)
	r.onEvict = nil
	return !r.evicted
}

// Grow makes the reservation hold size bytes or more. It returns false, and changes
// nothing, if the budget is used up or the reservation was evicted.
func (r *Reservation) Grow(size int64) bool {
	if r.budget == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.evicted {
		return false
	}
	missing := size - r.budget.freeBytes - r.held
	if missing <= 0 {
		return true
	}
	return r.budget.reserve(r, (missing+growthBytes-1)/growthBytes*growthBytes)
}

// Release gives the bytes back. Unless the reservation was evicted, it may be used again.
func (r *Reservation) Release() {
	if r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.stopReading(r)
	r.budget.evicting -= r.evictedBytes
	r.evictedBytes = 0
	r.budget.add(r, -r.held)
}

// Reader returns a reader of source that grows the reservation by what it returns. If the
// budget is used up, it returns ErrExhausted with the last bytes that it has read.
func (r *Reservation) Reader(source io.Reader) io.Reader {
	return &countingReader{reservation: r, source: source}
}
