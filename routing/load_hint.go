package routing

import "time"

const (
	// loadReportMaxAge is the age beyond which a load report is ignored.
	loadReportMaxAge = 3 * time.Second
	// peakWindow is the length of a window over which the peak is taken.
	peakWindow = time.Second
)

// LoadHint estimates how many requests a target serves for other sources, from
// its load reports and from the number of this pool's running requests
// there. Reports lag, so only load above the pool's own recent peak counts as
// external.
type LoadHint struct {
	reported   int
	reportedAt time.Time
	// peak and previousPeak are the highest numbers of running requests in the
	// current and in the previous window.
	peak         int
	previousPeak int
	windowStart  time.Time
}

// RecordRunning records the number of this pool's running requests.
func (h *LoadHint) RecordRunning(now time.Time, running int) {
	if elapsed := now.Sub(h.windowStart); elapsed >= peakWindow {
		h.previousPeak = h.peak
		if elapsed >= 2*peakWindow {
			h.previousPeak = running
		}
		h.peak = running
		h.windowStart = now
	}
	h.peak = max(h.peak, running)
}

// Report records the load that the target measured at a time. A report older
// than the last one is ignored.
func (h *LoadHint) Report(at time.Time, load int) {
	if at.Before(h.reportedAt) {
		return
	}
	h.reportedAt = at
	h.reported = load
}

// Reported returns the last reported load.
func (h *LoadHint) Reported() int { return h.reported }

// ExternalRequests estimates how many requests of other sources the target
// serves. Without a recent report it returns zero.
func (h *LoadHint) ExternalRequests(now time.Time) int {
	if h.reportedAt.IsZero() || now.Sub(h.reportedAt) > loadReportMaxAge {
		return 0
	}
	return max(0, h.reported-max(h.peak, h.previousPeak))
}
