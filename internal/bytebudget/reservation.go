package bytebudget

import "io"

// growthBytes is the step by which a reservation grows.
const growthBytes = 16 << 10

// Reservation is the part of a budget that one request uses. It must be released. It is
// not safe for concurrent use.
type Reservation struct {
	budget *Budget
	held   int64
}

// Reserve returns an empty reservation.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Grow makes the reservation hold size bytes or more. It returns false, and changes
// nothing, if the budget is used up.
func (r *Reservation) Grow(size int64) bool {
	if r.budget == nil {
		return true
	}
	missing := size - r.budget.freeBytes - r.held
	if missing <= 0 {
		return true
	}
	missing = (missing + growthBytes - 1) / growthBytes * growthBytes
	if !r.budget.reserve(missing) {
		return false
	}
	r.held += missing
	return true
}

// Release gives the bytes back. The reservation may be used again.
func (r *Reservation) Release() {
	if r.budget == nil {
		return
	}
	r.budget.release(r.held)
	r.held = 0
}

// Reader returns a reader of source that grows the reservation by what it returns. If the
// budget is used up, it returns ErrExhausted with the last bytes that it has read.
func (r *Reservation) Reader(source io.Reader) io.Reader {
	return &countingReader{reservation: r, source: source}
}
