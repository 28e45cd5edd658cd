package admission

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/quarantine"
)

const (
	// strikeTTL is how long a strike counts, and how long a quarantine lasts
	// after the last strike.
	strikeTTL = 10 * time.Minute
	// QuarantineThreshold is the number of strikes at which a digest is
	// quarantined.
	QuarantineThreshold = 2
	// maxCrashes bounds the number of crashes remembered.
	maxCrashes = 128
)

// crashTracker identifies requests that crash targets. When a target crashes,
// each digest running there gets a strike; a digest with QuarantineThreshold
// strikes is confirmed as a culprit and quarantined. A crash that a confirmed
// culprit took part in no longer counts as a strike against other digests, so a
// digest that merely ran beside a culprit is released from quarantine.
type crashTracker struct {
	crashes []*targetCrash
	digests map[quarantine.Digest]*digestStrikes
}

func newCrashTracker() *crashTracker {
	return &crashTracker{digests: make(map[quarantine.Digest]*digestStrikes)}
}

// recordCrash gives a strike to each digest that was running on a target that
// crashed.
func (t *crashTracker) recordCrash(now time.Time, digests []quarantine.Digest) *targetCrash {
	t.expire(now)
	crash := &targetCrash{at: now, digests: digests}
	t.crashes = append(t.crashes, crash)
	for _, digest := range digests {
		s := t.strikesOf(digest)
		s.crashes = append(s.crashes, crash)
	}
	t.confirmCulprits(now, crash)
	return crash
}

// clear drops the strikes of a digest that ran to completion, unless it is
// confirmed.
func (t *crashTracker) clear(digest quarantine.Digest) {
	s := t.digests[digest]
	if s == nil || s.confirmed {
		return
	}
	for _, crash := range s.crashes {
		crash.digests = slices.DeleteFunc(crash.digests, func(other quarantine.Digest) bool { return other == digest })
	}
	delete(t.digests, digest)
}

// mergeRemote merges a strike count from another owner and reports whether it
// changed anything here.
func (t *crashTracker) mergeRemote(now time.Time, digest quarantine.Digest, count int, expiry time.Time) bool {
	if digest == 0 || count <= 0 || !now.Before(expiry) {
		return false
	}
	s := t.strikesOf(digest)
	changed := !now.Before(s.remoteExpiry) || count > s.remoteStrikes
	if !now.Before(s.remoteExpiry) {
		s.remoteStrikes = 0
	}
	s.remoteStrikes = max(s.remoteStrikes, count)
	if expiry.After(s.remoteExpiry) {
		s.remoteExpiry = expiry
	}
	return changed
}

// isSuspect reports whether the digest has a strike.
func (t *crashTracker) isSuspect(now time.Time, digest quarantine.Digest) bool {
	s := t.digests[digest]
	return s != nil && t.strikeCount(now, digest, s) > 0
}

// quarantineExpiry returns the end of the digest's quarantine and whether it is
// quarantined now.
func (t *crashTracker) quarantineExpiry(now time.Time, digest quarantine.Digest) (time.Time, bool) {
	s := t.digests[digest]
	if s == nil || t.strikeCount(now, digest, s) < QuarantineThreshold {
		return time.Time{}, false
	}
	expiry := s.expiry
	if !s.confirmed || s.remoteExpiry.After(expiry) {
		expiry = s.remoteExpiry
	}
	return expiry, now.Before(expiry)
}

// records returns the strikes counted by this owner, sorted by digest.
func (t *crashTracker) records(now time.Time) []StrikeRecord {
	var records []StrikeRecord
	for digest, s := range t.digests {
		if count := t.localStrikeCount(now, digest, s); count > 0 {
			last := s.crashes[len(s.crashes)-1]
			records = append(records, StrikeRecord{Digest: digest, Count: count, Expiry: last.at.Add(strikeTTL)})
		}
	}
	slices.SortFunc(records, func(a, t StrikeRecord) int {
		if a.Digest < t.Digest {
			return -1
		}
		return 1
	})
	return records
}

// strikeCount returns the number of local strikes and unexpired remote ones.
func (t *crashTracker) strikeCount(now time.Time, digest quarantine.Digest, s *digestStrikes) int {
	count := t.localStrikeCount(now, digest, s)
	if now.Before(s.remoteExpiry) {
		count += s.remoteStrikes
	}
	return count
}

// localStrikeCount returns the number of unexpired crashes that are not
// attributed to another digest.
func (t *crashTracker) localStrikeCount(now time.Time, digest quarantine.Digest, s *digestStrikes) int {
	count := 0
	for _, crash := range s.crashes {
		if now.Sub(crash.at) < strikeTTL && !t.attributedToOther(crash, digest) {
			count++
		}
	}
	return count
}

// attributedToOther reports whether another digest that took part in the crash
// is confirmed as a culprit.
func (t *crashTracker) attributedToOther(crash *targetCrash, digest quarantine.Digest) bool {
	for _, other := range crash.digests {
		if other != digest && t.digests[other] != nil && t.digests[other].confirmed {
			return true
		}
	}
	return false
}

// confirmCulprits confirms the digests that a new crash brings to the
// threshold.
func (t *crashTracker) confirmCulprits(now time.Time, crash *targetCrash) {
	var confirmed []quarantine.Digest
	for _, digest := range crash.digests {
		if s := t.digests[digest]; t.strikeCount(now, digest, s) >= QuarantineThreshold {
			confirmed = append(confirmed, digest)
		}
	}
	for _, digest := range confirmed {
		s := t.digests[digest]
		s.confirmed = true
		s.expiry = now.Add(strikeTTL)
	}
	for _, digest := range confirmed {
		t.clearUnsupported(now, digest, confirmed)
	}
}

// clearUnsupported reverses earlier confirmations that rest on crashes now
// attributed to the digest and so fall below the threshold. The digests just
// confirmed stay.
func (t *crashTracker) clearUnsupported(now time.Time, digest quarantine.Digest, confirmed []quarantine.Digest) {
	for _, crash := range t.digests[digest].crashes {
		for _, other := range crash.digests {
			s := t.digests[other]
			if s == nil || !s.confirmed || slices.Contains(confirmed, other) {
				continue
			}
			if t.strikeCount(now, other, s) < QuarantineThreshold {
				s.confirmed = false
			}
		}
	}
}

// strikesOf returns the record of a digest, creating it on first use.
func (t *crashTracker) strikesOf(digest quarantine.Digest) *digestStrikes {
	s := t.digests[digest]
	if s == nil {
		s = &digestStrikes{}
		t.digests[digest] = s
	}
	return s
}

// expire removes crashes, confirmations and remote counts that have expired,
// and the oldest crashes beyond maxCrashes.
func (t *crashTracker) expire(now time.Time) {
	expired := func(crash *targetCrash) bool { return now.Sub(crash.at) >= strikeTTL }
	t.crashes = slices.DeleteFunc(t.crashes, expired)
	if excess := len(t.crashes) - (maxCrashes - 1); excess > 0 {
		for _, crash := range t.crashes[:excess] {
			crash.at = time.Time{}
		}
		t.crashes = slices.Delete(t.crashes, 0, excess)
	}
	for digest, s := range t.digests {
		s.crashes = slices.DeleteFunc(s.crashes, expired)
		if s.confirmed && !now.Before(s.expiry) {
			s.confirmed = false
		}
		if len(s.crashes) == 0 && !now.Before(s.remoteExpiry) {
			delete(t.digests, digest)
		}
	}
}
