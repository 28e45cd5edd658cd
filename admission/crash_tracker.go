package admission

import (
	"slices"
	"time"
)

const (
	// strikeLifetime is how long a strike counts, and how long a quarantine
	// lasts after the last one.
	strikeTTL = 10 * time.Minute
	// QuarantineThreshold is the number of strikes that quarantine a digest.
	QuarantineThreshold = 2
	// maxDeaths bounds the deaths that are remembered.
	maxCrashes = 128
)

// strikeBook finds the requests that crash targets. Each digest in service on a
// target that dies gets a strike; two strikes convict it. A convicted digest
// explains the deaths that it took part in: the strikes which others got from
// them no longer count, so that an innocent that was in service beside it twice
// is let go.
type crashTracker struct {
	crashes []*targetCrash
	digests map[Digest]*digestStrikes
}

func newCrashTracker() *crashTracker {
	return &crashTracker{digests: make(map[Digest]*digestStrikes)}
}

// died gives a strike to each digest in service on a target that died.
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

// clear forgives a digest that ran to its end.
func (b *crashTracker) clear(digest Digest) {
	s := b.digests[digest]
	if s == nil || s.confirmed {
		return
	}
	for _, d := range s.crashes {
		d.digests = slices.DeleteFunc(d.digests, func(other Digest) bool { return other == digest })
	}
	delete(b.digests, digest)
}

// told takes in what another owner counted, and says whether that is news.
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

// suspect says whether the digest has a strike.
func (b *crashTracker) isSuspect(now time.Time, digest Digest) bool {
	s := b.digests[digest]
	return s != nil && b.strikeCount(now, digest, s) > 0
}

// quarantined says whether the digest is refused, and until when.
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

// records returns the strikes given here.
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

// strikes counts the strikes given here and those that others told of.
func (b *crashTracker) strikeCount(now time.Time, digest Digest, s *digestStrikes) int {
	count := b.localStrikeCount(now, digest, s)
	if now.Before(s.remoteExpiry) {
		count += s.remoteStrikes
	}
	return count
}

// unexplained counts the recent deaths that no other convicted digest took part
// in.
func (b *crashTracker) localStrikeCount(now time.Time, digest Digest, s *digestStrikes) int {
	count := 0
	for _, crash := range s.crashes {
		if now.Sub(crash.at) < strikeTTL && !b.attributedToOther(crash, digest) {
			count++
		}
	}
	return count
}

func (b *crashTracker) attributedToOther(crash *targetCrash, digest Digest) bool {
	for _, other := range crash.digests {
		if other != digest && b.digests[other] != nil && b.digests[other].confirmed {
			return true
		}
	}
	return false
}

// convict judges the digests of a new death.
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

// exonerate lets go the digests convicted earlier that the new conviction leaves
// with too few strikes.
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

func (b *crashTracker) strikesOf(digest Digest) *digestStrikes {
	s := b.digests[digest]
	if s == nil {
		s = &digestStrikes{}
		b.digests[digest] = s
	}
	return s
}

// expire forgets what no longer counts.
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
