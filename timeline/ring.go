package timeline

import (
	"sort"
	"sync"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// DefaultCapacity is the capacity of a ring for which none is configured.
	DefaultCapacity = 16384
	// maxDetailBytes is the length to which the detail of an event is truncated.
	maxDetailBytes = 256
)

// Ring is a Recorder that keeps the latest events of one process in a ring
// buffer. It is safe for concurrent use.
type Ring struct {
	host     ident.Host
	clock    *Clock
	capacity uint64

	mu sync.Mutex
	// records holds the event with sequence s at (s-1) % capacity.
	records []record
	last    uint64
}

// NewRing returns an empty ring. Its memory grows as events arrive.
func NewRing(o RingOptions) *Ring {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.Clock == nil {
		o.Clock = NewClock()
	}
	return &Ring{host: o.Host, clock: o.Clock, capacity: uint64(o.Capacity)}
}

// Record implements Recorder.
func (r *Ring) Record(e Event) {
	if len(e.Detail) > maxDetailBytes {
		e.Detail = e.Detail[:maxDetailBytes]
	}
	packed := pack(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	packed.time = r.clock.Now()
	r.last++
	if uint64(len(r.records)) < r.capacity {
		r.records = append(r.records, packed)
		return
	}
	r.records[(r.last-1)%r.capacity] = packed
}

// Events returns the buffered events recorded after since, oldest first. An
// empty request selects all requests; a limit of zero or less means no limit.
func (r *Ring) Events(since Timestamp, request ident.Request, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.oldestSequence()
	kept := int(r.last - first + 1)
	skip := sort.Search(kept, func(i int) bool {
		return since.Before(r.recordAt(first + uint64(i)).time)
	})
	var events []Event
	for s := first + uint64(skip); s <= r.last; s++ {
		if limit > 0 && len(events) == limit {
			break
		}
		rec := r.recordAt(s)
		if request != "" && rec.request != request {
			continue
		}
		events = append(events, rec.unpack(r.host, s))
	}
	return events
}

// Dropped returns the number of events that were overwritten.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.oldestSequence() - 1
}

// Recorded returns the number of all events, including the dropped ones.
func (r *Ring) Recorded() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// oldestSequence returns the sequence of the oldest buffered event, or last+1 if
// there is none.
func (r *Ring) oldestSequence() uint64 {
	if r.last <= r.capacity {
		return 1
	}
	return r.last - r.capacity + 1
}

func (r *Ring) recordAt(sequence uint64) *record {
	return &r.records[(sequence-1)%r.capacity]
}
