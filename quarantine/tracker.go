package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// Threshold is the number of strikes at which a digest is quarantined.
	Threshold = 2
	// Duration is how long a digest is quarantined after its last strike.
	Duration = 10 * time.Minute
	// Retention is how long a crash counts after it happened, and after content that it
	// quarantined was last asked for.
	Retention = 24 * time.Hour
	// maxCrashes bounds the crashes that are remembered, and maxRuns the runs of one of
	// them.
	maxCrashes = 128
	maxRuns    = 64
)

// Tracker holds the known crashes and the verdicts that follow from them. It is not safe
// for concurrent use.
type Tracker struct {
	// records are in the order of their times.
	records []*record
	served  servedMemory
	// listed holds the digests that SetSuspects has set and that were not served since.
	listed map[Digest]struct{}
	// verdicts follow from the records. They are out of date if stale is set.
	verdicts verdicts
	stale    bool
}

// NewTracker returns a tracker that knows of no crash.
func NewTracker() *Tracker { return &Tracker{} }

// Merge adds what another part of the system, or this host, knows of a crash. It reports
// whether that is new; if so, verdicts may have changed.
func (t *Tracker) Merge(now time.Time, c Crash) (changed bool) {
	t.expire(now)
	if now.Sub(c.At) >= Retention {
		return false
	}
	r, isNew := t.recordOf(&c)
	if !r.add(&c) && !isNew {
		return false
	}
	r.changedAt = now
	t.clearServed(r)
	slices.SortFunc(t.records, compareRecords)
	if excess := len(t.records) - maxCrashes; excess > 0 {
		t.records = slices.Delete(t.records, 0, excess)
	}
	t.stale = true
	return true
}

// recordOf returns the record of a crash, creating it on first use.
func (t *Tracker) recordOf(c *Crash) (r *record, isNew bool) {
	for _, known := range t.records {
		if known.matches(c) {
			return known, false
		}
	}
	r = &record{crash: Crash{Target: c.Target, Process: c.Process, At: c.At}}
	t.records = append(t.records, r)
	return r, true
}

// clearServed clears the digests of a crash that are known to have been served since, or
// shortly before.
func (t *Tracker) clearServed(r *record) {
	for i := range r.crash.Runs {
		run := &r.crash.Runs[i]
		if t.served.lastServed(run.Digest).After(r.crash.At.Add(-servedRetention)) {
			run.Cleared = true
		}
	}
}

// RecordServed records that a run of the digest was served, which clears it of the crashes
// so far. It reports whether there were any.
func (t *Tracker) RecordServed(now time.Time, digest Digest) (changed bool) {
	if digest == 0 {
		return false
	}
	t.served.add(now, digest)
	delete(t.listed, digest)
	for _, r := range t.records {
		if r.implicates(digest) {
			r.run(digest).Cleared = true
			r.changedAt = now
			changed = true
		}
	}
	t.stale = t.stale || changed
	return changed
}

// SetSuspects sets digests that are suspects although their crashes may be unknown, until they
// are served or set anew.
func (t *Tracker) SetSuspects(digests []Digest) {
	t.listed = make(map[Digest]struct{}, len(digests))
	for _, digest := range digests {
		t.listed[digest] = struct{}{}
	}
}

// currentVerdicts returns the verdicts that follow from the records as they are now.
func (t *Tracker) currentVerdicts(now time.Time) verdicts {
	t.expire(now)
	if t.stale {
		t.verdicts, t.stale = judge(t.records), false
	}
	return t.verdicts
}

// QuarantinedUntil returns the end of the digest's quarantine, and whether it is
// quarantined now.
func (t *Tracker) QuarantinedUntil(now time.Time, digest Digest) (time.Time, bool) {
	v := t.currentVerdicts(now)[digest]
	if !v.confirmed {
		return time.Time{}, false
	}
	until := v.lastStrike.Add(Duration)
	return until, now.Before(until)
}

// IsSuspect reports whether the digest is implicated in a crash that is not attributed to
// another one, or was set as a suspect.
func (t *Tracker) IsSuspect(now time.Time, digest Digest) bool {
	_, implicated := t.currentVerdicts(now)[digest]
	_, listed := t.listed[digest]
	return implicated || listed
}

// Strikes returns the number of strikes of a digest and the time of the last one.
func (t *Tracker) Strikes(now time.Time, digest Digest) (count int, last time.Time) {
	v := t.currentVerdicts(now)[digest]
	return v.strikes, v.lastStrike
}

// Implications returns the number of crashes in which the digest is implicated: it ran on the
// target and was not cleared.
func (t *Tracker) Implications(now time.Time, digest Digest) int {
	t.expire(now)
	count := 0
	for _, r := range t.records {
		if r.implicates(digest) {
			count++
		}
	}
	return count
}

// Suspects returns the digests that have strikes.
func (t *Tracker) Suspects(now time.Time) []Digest {
	return slices.Sorted(maps.Keys(t.currentVerdicts(now)))
}

// Quarantined returns the digests that are quarantined now.
func (t *Tracker) Quarantined(now time.Time) []Digest {
	return slices.DeleteFunc(t.Suspects(now), func(digest Digest) bool {
		_, quarantined := t.QuarantinedUntil(now, digest)
		return !quarantined
	})
}

// Crashes returns the known crashes in the order of their times.
func (t *Tracker) Crashes(now time.Time) []Crash { return t.CrashesSince(now, time.Time{}) }

// CrashesSince returns the crashes of which something became known after a time.
func (t *Tracker) CrashesSince(now, since time.Time) []Crash {
	t.expire(now)
	var crashes []Crash
	for _, r := range t.records {
		if r.changedAt.After(since) {
			crashes = append(crashes, r.report())
		}
	}
	return crashes
}

// expire drops the crashes that no longer count.
func (t *Tracker) expire(now time.Time) {
	expired := func(r *record) bool { return now.Sub(r.crash.At) >= Retention }
	if !slices.ContainsFunc(t.records, expired) {
		return
	}
	t.records = slices.DeleteFunc(t.records, expired)
	t.stale = true
}
