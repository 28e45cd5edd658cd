package retrybudget

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// windowBuckets is the number of buckets that the window is divided into.
const windowBuckets = 10

// usableShare is the part of the budget that is used. The rest is a safety margin.
const usableShare = 0.75

// startingShare is the part used in the first window of a process. An earlier process of the
// host may have used usableShare of the same window's budget.
const startingShare = 0.25

// Limits is the retry budget of all hosts together.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Allowance is the number of retries allowed in addition, in any window.
	Allowance float64
	Window    time.Duration
}

// Budget counts the requests and retries of one host by pool. It is safe for concurrent
// use.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	share  share
	pools  map[ident.Pool]*window
}

// New returns the budget of a host that starts now. For one window it has no part of the
// allowance and only a small part of the ratio, because an earlier process of the host may have
// used them. It has no part of the allowance until SetHostCount is called.
func New(now time.Time, limits Limits) *Budget {
	return &Budget{
		limits: limits,
		share:  share{window: limits.Window, startedAt: now},
		pools:  make(map[ident.Pool]*window),
	}
}

// SetHostCount sets how many hosts share the allowance.
func (b *Budget) SetHostCount(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.setHostCount(now, n)
}

// SetLimits replaces the limits. If the window length changes, the counts restart as
// those of a host that starts now.
func (b *Budget) SetLimits(now time.Time, l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		clear(b.pools)
		b.share.window, b.share.startedAt = l.Window, now
	}
	b.limits = l
}

// RecordRequest counts the first dispatch of a request.
func (b *Budget) RecordRequest(now time.Time, pool ident.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, pool).currentBucket().requests++
}

// AllowRetry reports whether the budget allows a retry that is dispatched now, and counts it
// if so.
func (b *Budget) AllowRetry(now time.Time, pool ident.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, pool)
	if b.remaining(now, w) < 1 {
		return false
	}
	w.currentBucket().retries++
	return true
}

// ReserveRetry reports whether the budget allows a retry that is dispatched later, and reserves
// it if so. The caller must then call DispatchReserved or ReleaseReserved once.
func (b *Budget) ReserveRetry(now time.Time, pool ident.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, pool)
	if b.remaining(now, w) < 1 {
		return false
	}
	w.reserved++
	return true
}

// DispatchReserved counts a reserved retry that is dispatched now.
func (b *Budget) DispatchReserved(now time.Time, pool ident.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, pool)
	w.release()
	w.currentBucket().retries++
}

// ReleaseReserved gives back a reserved retry that is not dispatched.
func (b *Budget) ReleaseReserved(now time.Time, pool ident.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, pool).release()
}

// remaining returns the retries that the window still allows. b.mu must be held.
func (b *Budget) remaining(now time.Time, w *window) float64 {
	requests, retries := w.sums()
	usable := usableShare
	if b.share.isStarting(now) {
		usable = startingShare
	}
	return usable*(b.limits.Ratio*requests+b.share.of(now, b.limits.Allowance)) - retries - w.reserved
}

// Remaining returns the retries that are still allowed now, by pool.
func (b *Budget) Remaining(now time.Time) map[ident.Pool]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := make(map[ident.Pool]float64, len(b.pools))
	for pool := range b.pools {
		remaining[pool] = b.remaining(now, b.window(now, pool))
	}
	return remaining
}

func (b *Budget) window(now time.Time, pool ident.Pool) *window {
	w := b.pools[pool]
	if w == nil {
		w = &window{bucketLength: b.limits.Window / windowBuckets, bucketStart: now}
		b.pools[pool] = w
	}
	w.advance(now)
	return w
}
