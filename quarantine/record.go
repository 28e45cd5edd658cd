package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// record is all that is known of one crash.
type record struct {
	crash Crash
	// changedAt is when something was last added to it, and runsChangedAt when that was for
	// each run.
	changedAt     time.Time
	runsChangedAt map[Digest]time.Time
	// missing is set while only a part of the runs has been reported: their number, and since when.
	missing      int
	missingSince time.Time
}

// partialReportWait is how long a crash of which only a part was reported is left out of verdicts. The
// other hosts report it in full within half of that, unless the message is lost.
const partialReportWait = 3 * time.Second

// isPartial reports whether the crash is known from a part of its runs and the others may still come.
// Of a group of digests, that part would be blamed alone, and one that runs elsewhere would
// seem to have had a common cause.
func (r *record) isPartial(now time.Time) bool {
	return r.missing > 0 && now.Sub(r.missingSince) < partialReportWait
}

// begin records how much of the crash the first report about it holds.
func (r *record) begin(now time.Time, c *Crash) {
	if c.Total > len(c.Runs) {
		r.missing, r.missingSince = c.Total, now
	}
}

// complete records whether a further report has brought the missing runs.
func (r *record) complete(c *Crash) {
	if c.Total == 0 || len(r.crash.Runs) >= r.missing {
		r.missing = 0
	}
}

// recordChange records that something was added to a run.
func (r *record) recordChange(now time.Time, digest Digest) {
	if r.runsChangedAt == nil {
		r.runsChangedAt = make(map[Digest]time.Time)
	}
	r.changedAt = now
	r.runsChangedAt[digest] = now
}

// changesSince returns the crash with the runs that have changed since then. Merging it has
// the same effect on a host that knows the other runs.
func (r *record) changesSince(since time.Time) Crash {
	c := r.crash
	c.Runs = slices.DeleteFunc(slices.Clone(c.Runs), func(run Run) bool { return !r.runsChangedAt[run.Digest].After(since) })
	if len(c.Runs) < len(r.crash.Runs) {
		c.Total = len(r.crash.Runs)
	}
	return c
}

// matches reports whether c is a report about the crash of the record.
func (r *record) matches(c *Crash) bool {
	return r.crash.Target == c.Target && r.crash.Process == c.Process
}

// add adds a report about the crash and says whether it contains anything new.
func (r *record) add(now time.Time, c *Crash) (changed bool) {
	if c.At.Before(r.crash.At) {
		r.crash.At = c.At
	}
	for _, run := range c.Runs {
		if r.addRun(run) {
			r.recordChange(now, run.Digest)
			changed = true
		}
	}
	return changed
}

// addRun adds a run. Of several runs of a digest, the longest is kept.
func (r *record) addRun(run Run) (changed bool) {
	known := r.run(run.Digest)
	switch {
	case known != nil:
		known.Part = known.Part && run.Part
		changed = run.Cleared && !known.Cleared || run.Trial && !known.Trial
		known.Cleared = known.Cleared || run.Cleared
		known.Trial = known.Trial || run.Trial
		known.Duration = max(known.Duration, run.Duration)
		return changed
	case run.Digest == 0, len(r.crash.Runs) >= maxRuns:
		return false
	default:
		r.crash.Runs = append(r.crash.Runs, run)
		return true
	}
}

// run returns the run of a digest, or nil if there was none.
func (r *record) run(digest Digest) *Run {
	i := slices.IndexFunc(r.crash.Runs, func(run Run) bool { return run.Digest == digest })
	if i < 0 {
		return nil
	}
	return &r.crash.Runs[i]
}

// implicates reports whether the crash is a strike against the digest, unless it is
// attributed to another one.
func (r *record) implicates(digest Digest) bool {
	run := r.run(digest)
	return run != nil && !run.Cleared
}

// report returns a copy of the crash.
func (r *record) report() Crash {
	c := r.crash
	c.Runs = slices.Clone(c.Runs)
	return c
}

// compareRecords orders records by time.
func compareRecords(a, b *record) int {
	return cmp.Or(a.crash.At.Compare(b.crash.At), cmp.Compare(a.crash.Target, b.crash.Target), cmp.Compare(a.crash.Process, b.crash.Process))
}
