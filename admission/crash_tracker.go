package admission

import (
	"slices"
	"time"
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
	digests map[Digest]*digestStrikes
}

func newCrashTracker() *crashTracker {
	return &crashTracker{digests: make(map[Digest]*digestStrikes)}
}

// recordCrash gives a strike to each digest that was running on a target that
// crashed.
func (b *crashTracker) recordCrash(now time.Time, digests []Digest) *targetCrash {
	b.expire(now)
	crash := &targetCrash{at: now, digests: digests}
	b.crashes = append(b.crashes, crash)
	for _, digest := range digests {
		s := b.strikesOf(digest)
		s.crashes = append(s.crashes, crash)
	}
	b.confirmCulprits(now, crash)
	return crash
}

// clear drops the strikes of a digest that ran to completion, unless it is
// confirmed.
func (b *crashTracker) clear(digest Digest) {
	s := b.digests[digest]
	if s == nil || s.confirmed {
		return
	}
	for _, crash := range s.crashes {
		crash.digests = slices.DeleteFunc(crash.digests, func(other Digest) bool { return other == digest })
	}
	delete(b.digests, digest)
}

// mergeRemote merges a strike count from another owner and reports whether it
// changed anything here.
func (b *crashTracker) mergeRemote(now time.Time, digest Digest, count int, expiry time.Time) bool {
	if digest == 0 || count <= 0 || !now.Before(expiry) {
		return false
	}
	s := b.strikesOf(digest)
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
func (b *crashTracker) isSuspect(now time.Time, digest Digest) bool {
	s := b.digests[digest]
	return s != nil && b.strikeCount(now, digest, s) > 0
}

// quarantineExpiry returns the end of the digest's quarantine and whether it is
// quarantined now.
func (b *crashTracker) quarantineExpiry(now time.Time, digest Digest) (time.Time, bool) {
	s := b.digests[digest]
	if s == nil || b.strikeCount(now, digest, s) < QuarantineThreshold {
		return time.Time{}, false
	}
	expiry := s.expiry
	if !s.confirmed || s.remoteExpiry.After(expiry) {
		expiry = s.remoteExpiry
	}
	return expiry, now.Before(expiry)
}

// localRecords returns the strikes counted by this owner, sorted by digest.
func (b *crashTracker) localRecords(now time.Time) []StrikeRecord {
	var records []StrikeRecord
	for digest, s := range b.digests {
		if count := b.localStrikeCount(now, digest, s); count > 0 {
			last := s.crashes[len(s.crashes)-1]
			records = append(records, StrikeRecord{Digest: digest, Count: count, Expiry: last.at.Add(strikeTTL)})
		}
	}
	slices.SortFunc(records, func(a, b StrikeRecord) int {
		if a.Digest < b.Digest {
			return -1
		}
		return 1
	})
	return records
}

// strikeCount returns the number of local strikes and unexpired remote ones.
func (b *crashTracker) strikeCount(now time.Time, digest Digest, s *digestStrikes) int {
	count := b.localStrikeCount(now, digest, s)
	if now.Before(s.remoteExpiry) {
		count += s.remoteStrikes
	}
	return count
}

// localStrikeCount returns the number of unexpired crashes that are not
// attributed to another digest.
func (b *crashTracker) localStrikeCount(now time.Time, digest Digest, s *digestStrikes) int {
	count := 0
	for _, crash := range s.crashes {
		if now.Sub(crash.at) < strikeTTL && !b.attributedToOther(crash, digest) {
			count++
		}
	}
	return count
}

// attributedToOther reports whether another digest that took part in the crash
// is confirmed as a culprit.
func (b *crashTracker) attributedToOther(crash *targetCrash, digest Digest) bool {
	for _, other := range crash.digests {
		if other != digest && b.digests[other] != nil && b.digests[other].confirmed {
			return true
		}
	}
	return false
}

// confirmCulprits confirms the digests that a new crash brings to the
// threshold.
func (b *crashTracker) confirmCulprits(now time.Time, crash *targetCrash) {
	var confirmed []Digest
	for _, digest := range crash.digests {
		if s := b.digests[digest]; b.strikeCount(now, digest, s) >= QuarantineThreshold {
			confirmed = append(confirmed, digest)
		}
	}
	for _, digest := range confirmed {
		s := b.digests[digest]
		s.confirmed = true
		s.expiry = now.Add(strikeTTL)
	}
	for _, digest := range confirmed {
		b.clearUnsupported(now, digest, confirmed)
	}
}

// clearUnsupported reverses earlier confirmations that rest on crashes now
// attributed to the digest and so fall below the threshold. The digests just
// confirmed stay.
func (b *crashTracker) clearUnsupported(now time.Time, digest Digest, confirmed []Digest) {
	for _, crash := range b.digests[digest].crashes {
		for _, other := range crash.digests {
			s := b.digests[other]
			if s == nil || !s.confirmed || slices.Contains(confirmed, other) {
				continue
			}
			if b.strikeCount(now, other, s) < QuarantineThreshold {
				s.confirmed = false
			}
		}
	}
}

// strikesOf returns the record of a digest, creating it on first use.
func (b *crashTracker) strikesOf(digest Digest) *digestStrikes {
	s := b.digests[digest]
	if s == nil {
		s = &digestStrikes{}
		b.digests[digest] = s
	}
	return s
}

// expire removes crashes, confirmations and remote counts that have expired,
// and the oldest crashes beyond maxCrashes.
func (b *crashTracker) expire(now time.Time) {
	expired := func(crash *targetCrash) bool { return now.Sub(crash.at) >= strikeTTL }
	b.crashes = slices.DeleteFunc(b.crashes, expired)
	if excess := len(b.crashes) - (maxCrashes - 1); excess > 0 {
		for _, crash := range b.crashes[:excess] {
			crash.at = time.Time{}
		}
		b.crashes = slices.Delete(b.crashes, 0, excess)
	}
	for digest, s := range b.digests {
		s.crashes = slices.DeleteFunc(s.crashes, expired)
		if s.confirmed && !now.Before(s.expiry) {
			s.confirmed = false
		}
		if len(s.crashes) == 0 && !now.Before(s.remoteExpiry) {
			delete(b.digests, digest)
		}
	}
}
