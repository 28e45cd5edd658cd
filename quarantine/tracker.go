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
	maxRuns    = 256
)

// Tracker holds the known crashes and the verdicts that follow from them. It is not safe
// for concurrent use.
type Tracker struct {
	// records are in the order of their times.
	records []*record
	// served and servedParts hold when whole contents and parts were served.
	served      servedMemory
	servedParts servedMemory
	// listed holds the digests that SetSuspects has set and that were not served since.
	listed map[Digest]struct{}
	// judgement follows from the records. It is out of date if stale is set.
	judgement judgement
	stale     bool
	// partialUntil is when the first crash that is known in part only has to be judged on, or zero.
	partialUntil time.Time
}

// NewTracker returns a tracker that knows of no crash.
func NewTracker() *Tracker {
	return &Tracker{
		served:      servedMemory{retention: servedRetention},
		servedParts: servedMemory{retention: partRetention},
	}
}

// Merge adds what another part of the system, or this host, knows of a crash. It reports
// whether that is new; if so, verdicts may have changed.
func (t *Tracker) Merge(now time.Time, c Crash) (changed bool) {
	t.expire(now)
	if now.Sub(c.At) >= Retention {
		return false
	}
	r, isNew := t.recordOf(&c)
	if isNew {
		r.begin(now, &c)
	}
	added, wasPartial := r.add(now, &c), r.isPartial(now)
	if !isNew {
		r.complete(&c)
	}
	if !added && !isNew && wasPartial == r.isPartial(now) {
		return false
	}
	r.changedAt = now
	t.clearServed(now, r)
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
func (t *Tracker) clearServed(now time.Time, r *record) {
	for i := range r.crash.Runs {
		run := &r.crash.Runs[i]
		served := t.served.clears(run.Digest, r.crash.At) || t.servedParts.clears(run.Digest, r.crash.At)
		if served && !run.Cleared {
			run.Cleared = true
			r.recordChange(now, run.Digest)
		}
	}
}

// RecordServed records that a run of the content was served, which clears it and its parts of
// the crashes so far. It returns the digests that were implicated in any.
func (t *Tracker) RecordServed(now time.Time, c Content) (cleared []Digest) {
	if c.Whole != 0 {
		t.served.add(now, c.Whole)
	}
	for _, part := range c.Parts {
		t.servedParts.add(now, part)
	}
	implicated := t.current(now).implicated
	for _, digest := range c.digests() {
		delete(t.listed, digest)
		if implicated[digest] {
			t.clear(now, digest)
			cleared = append(cleared, digest)
		}
	}
	return cleared
}

// clear clears a digest of all known crashes.
func (t *Tracker) clear(now time.Time, digest Digest) {
	for _, r := range t.records {
		if r.implicates(digest) {
			r.run(digest).Cleared = true
			r.recordChange(now, digest)
		}
	}
	t.stale = true
}

// SetSuspects sets digests that are suspects although their crashes may be unknown, until they
// are served or set anew.
func (t *Tracker) SetSuspects(digests []Digest) {
	t.listed = make(map[Digest]struct{}, len(digests))
	for _, digest := range digests {
		t.listed[digest] = struct{}{}
	}
}

// current returns what follows from the records as they are now.
func (t *Tracker) current(now time.Time) *judgement {
	t.expire(now)
	if t.stale || !t.partialUntil.IsZero() && !now.Before(t.partialUntil) {
		t.judge(now)
	}
	return &t.judgement
}

// judge renews the judgement, without the crashes that are known in part only.
func (t *Tracker) judge(now time.Time) {
	t.stale, t.partialUntil = false, time.Time{}
	var whole []*record
	for _, r := range t.records {
		if !r.isPartial(now) {
			whole = append(whole, r)
			continue
		}
		if until := r.missingSince.Add(partialReportWait); t.partialUntil.IsZero() || until.Before(t.partialUntil) {
			t.partialUntil = until
		}
	}
	t.judgement = judge(whole)
	// A request that is served clears its digests of these crashes too.
	t.judgement.implicated = implicatedIn(t.records)
}

// QuarantinedUntil returns the end of the quarantine of requests with the content, and
// whether they are quarantined now.
func (t *Tracker) QuarantinedUntil(now time.Time, c Content) (time.Time, bool) {
	v, confirmed := t.current(now).confirmedIn(c)
	if !confirmed {
		return time.Time{}, false
	}
	until := v.lastStrike.Add(Duration)
	return until, now.Before(until)
}

// SuspectsIn returns the digests of the content that are implicated in a crash that is not
// attributed to another one, or that were set as suspects.
func (t *Tracker) SuspectsIn(now time.Time, c Content) []Digest {
	verdicts := t.current(now).verdicts
	if len(verdicts) == 0 && len(t.listed) == 0 {
		return nil
	}
	var suspects []Digest
	for _, digest := range c.digests() {
		_, implicated := verdicts[digest]
		_, listed := t.listed[digest]
		if implicated || listed {
			suspects = append(suspects, digest)
		}
	}
	return suspects
}

// IsSuspect reports whether the content has any suspect.
func (t *Tracker) IsSuspect(now time.Time, c Content) bool { return len(t.SuspectsIn(now, c)) > 0 }

// ConvictedIn returns the digests of the content that are confirmed to crash targets by
// themselves.
func (t *Tracker) ConvictedIn(now time.Time, c Content) []Digest {
	j := t.current(now)
	return slices.DeleteFunc(c.digests(), func(digest Digest) bool {
		v := j.verdicts[digest]
		return !v.confirmed || len(j.groups[v.group]) > 1
	})
}

// Strikes returns the number of strikes of a digest and the time of the last one.
func (t *Tracker) Strikes(now time.Time, digest Digest) (count int, last time.Time) {
	v := t.current(now).verdicts[digest]
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
	return slices.Sorted(maps.Keys(t.current(now).verdicts))
}

// Quarantined returns the digests that are quarantined now, by themselves or in a group.
func (t *Tracker) Quarantined(now time.Time) []Digest {
	verdicts := t.current(now).verdicts
	return slices.DeleteFunc(t.Suspects(now), func(digest Digest) bool {
		v := verdicts[digest]
		return !v.confirmed || !now.Before(v.lastStrike.Add(Duration))
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

// ChangesSince is like CrashesSince with only the runs of which something became known.
func (t *Tracker) ChangesSince(now, since time.Time) []Crash {
	t.expire(now)
	var crashes []Crash
	for _, r := range t.records {
		if r.changedAt.After(since) {
			crashes = append(crashes, r.changesSince(since))
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
