package schedule

import "time"

// crashReports remembers when crashes were last reported to other hosts.
type crashReports struct {
	// lastAt and previousAt are the times of the last two reports, and fullAt that of the last
	// one with all crashes of crashReportWindow.
	lastAt     time.Time
	previousAt time.Time
	fullAt     time.Time
}

// next returns the time since which what became known of crashes belongs in the report that is
// sent now, and whether the report is to contain these crashes in full. Each change is sent in
// two reports, because a message may be lost.
func (r *crashReports) next(now time.Time) (since time.Time, full bool) {
	since = r.previousAt
	if now.Sub(r.fullAt) >= fullCrashReportInterval {
		r.fullAt, full = now, true
		since = now.Add(-crashReportWindow)
	}
	r.previousAt, r.lastAt = r.lastAt, now
	return since, full
}
