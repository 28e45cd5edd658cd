package claim

import (
	"sync"
	"time"
)

// outageMemory is how long after a failed read others are refused without one.
const outageMemory = 500 * time.Millisecond

// outage remembers that the platform could not be reached, so that requests
// are refused at once instead of each waiting for a timeout.
type outage struct {
	mu    sync.Mutex
	until time.Time
}

func (o *outage) seen(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until = now.Add(outageMemory)
}

func (o *outage) over() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until = time.Time{}
}

func (o *outage) lasts(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.until)
}
