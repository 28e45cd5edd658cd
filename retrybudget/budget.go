package retrybudget

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// buckets is the number of parts that the window is counted in.
const buckets = 10

// safety is the part of the budget that is used.
const safety = 0.8

// Limits is the budget over all hosts.
type Limits struct {
	// Ratio is the repeats allowed for each first request.
	Ratio float64
	// Allowance is the repeats allowed besides, in any window.
	Allowance float64
	Window    time.Duration
}

// Budget counts the requests and repeats of one host. It is safe for concurrent
// use.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	hosts  int
	pools  map[ident.Pool]*window
}

// New returns a budget for one of so many hosts.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, hosts: 1, pools: make(map[ident.Pool]*window)}
}

// SetHostCount tells how many hosts share the allowance.
func (b *Budget) SetHostCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(n, 1)
}

// SetLimits changes the budget.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		clear(b.pools)
	}
	b.limits = l
}

// RecordRequest notes the first dispatch of a request.
func (b *Budget) RecordRequest(now time.Time, pool ident.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, pool).current().first++
}

// AllowRetry allows one repeat, or does not.
func (b *Budget) AllowRetry(now time.Time, pool ident.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, pool)
	if b.left(w) < 1 {
		return false
	}
	w.current().repeats++
	return true
}

// left returns the repeats that the window still allows. The mutex is held.
func (b *Budget) left(w *window) float64 {
	first, repeats := w.sums()
	return safety*(b.limits.Ratio*first+b.limits.Allowance/float64(b.hosts)) - repeats
}

// Remaining returns the repeats that are still allowed now, by pool.
func (b *Budget) Remaining(now time.Time) map[ident.Pool]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := make(map[ident.Pool]float64, len(b.pools))
	for pool := range b.pools {
		left[pool] = b.left(b.window(now, pool))
	}
	return left
}

func (b *Budget) window(now time.Time, pool ident.Pool) *window {
	w := b.pools[pool]
	if w == nil {
		w = &window{step: b.limits.Window / buckets, begun: now}
		b.pools[pool] = w
	}
	w.advance(now)
	return w
}
