package routing

import "time"

const (
	// loadHintAge is the age beyond which a load report says nothing.
	loadHintAge = 3 * time.Second
	// peakWindow is the span of one window of the own peak.
	peakWindow = time.Second
)

// LoadHint compares a target's own reports, which lag, with what this pool has
// in service there. What the target reports beyond the pool's own recent peak
// comes from elsewhere.
type LoadHint struct {
	reported int
	at       time.Time
	// peak and lastPeak are the most requests in service in this window and in
	// the one before.
	peak     int
	lastPeak int
	window   time.Time
}

// RecordInService takes in the own number of requests in service.
func (h *LoadHint) RecordInService(now time.Time, inService int) {
	if elapsed := now.Sub(h.window); elapsed >= peakWindow {
		h.lastPeak = h.peak
		if elapsed >= 2*peakWindow {
			h.lastPeak = inService
		}
		h.peak = inService
		h.window = now
	}
	h.peak = max(h.peak, inService)
}

// Report takes in a load report that was measured at a time.
func (h *LoadHint) Report(at time.Time, load int) {
	if at.Before(h.at) {
		return
	}
	h.at = at
	h.reported = load
}

// Reported returns the last reported load.
func (h *LoadHint) Reported() int { return h.reported }

// ExternalRequests returns how many requests from elsewhere the target seems to have.
func (h *LoadHint) ExternalRequests(now time.Time) int {
	if h.at.IsZero() || now.Sub(h.at) > loadHintAge {
		return 0
	}
	return max(0, h.reported-max(h.peak, h.lastPeak))
}
