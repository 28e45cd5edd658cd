package admission

import (
	"slices"
	"time"
)

const (
	// strikeLifetime is how long a strike counts, and how long a quarantine
	// lasts after the last one.
	strikeLifetime = 10 * time.Minute
	// QuarantineThreshold is the number of strikes that quarantine a digest.
	QuarantineThreshold = 2
	// maxDeaths bounds the deaths that are remembered.
	maxDeaths = 128
)

// strikeBook finds the requests that crash targets. Each digest in service on a
// target that dies gets a strike; two strikes convict it. A convicted digest
// explains the deaths that it took part in: the strikes which others got from
// them no longer count, so that an innocent that was in service beside it twice
// is let go.
type strikeBook struct {
	deaths  []*death
	digests map[Digest]*suspicion
}

func newStrikeBook() *strikeBook {
	return &strikeBook{digests: make(map[Digest]*suspicion)}
}

// died gives a strike to each digest in service on a target that died.
func (b *strikeBook) died(now time.Time, digests []Digest) *death {
	b.expire(now)
	d := &death{at: now, digests: digests}
	b.deaths = append(b.deaths, d)
	for _, digest := range digests {
		s := b.suspicion(digest)
		s.deaths = append(s.deaths, d)
	}
	b.convict(now, d)
	return d
}

// clear forgives a digest that ran to its end.
func (b *strikeBook) clear(digest Digest) {
	s := b.digests[digest]
	if s == nil || s.convicted {
		return
	}
	for _, d := range s.deaths {
		d.digests = slices.DeleteFunc(d.digests, func(other Digest) bool { return other == digest })
	}
	delete(b.digests, digest)
}

// told takes in what another owner counted, and says whether that is news.
func (b *strikeBook) told(now time.Time, digest Digest, count int, expiry time.Time) bool {
	if digest == 0 || count <= 0 || !now.Before(expiry) {
		return false
	}
	s := b.suspicion(digest)
	news := !now.Before(s.toldExpiry) || count > s.told
	if !now.Before(s.toldExpiry) {
		s.told = 0
	}
	s.told = max(s.told, count)
	if expiry.After(s.toldExpiry) {
		s.toldExpiry = expiry
	}
	return news
}

// suspect says whether the digest has a strike.
func (b *strikeBook) suspect(now time.Time, digest Digest) bool {
	s := b.digests[digest]
	return s != nil && b.strikes(now, digest, s) > 0
}

// quarantined says whether the digest is refused, and until when.
func (b *strikeBook) quarantined(now time.Time, digest Digest) (time.Time, bool) {
	s := b.digests[digest]
	if s == nil || b.strikes(now, digest, s) < QuarantineThreshold {
		return time.Time{}, false
	}
	expiry := s.expiry
	if !s.convicted || s.toldExpiry.After(expiry) {
		expiry = s.toldExpiry
	}
	return expiry, now.Before(expiry)
}

// records returns the strikes given here.
func (b *strikeBook) records(now time.Time) []StrikeRecord {
	var records []StrikeRecord
	for digest, s := range b.digests {
		if count := b.unexplained(now, digest, s); count > 0 {
			last := s.deaths[len(s.deaths)-1]
			records = append(records, StrikeRecord{Digest: digest, Count: count, Expiry: last.at.Add(strikeLifetime)})
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
func (b *strikeBook) strikes(now time.Time, digest Digest, s *suspicion) int {
	count := b.unexplained(now, digest, s)
	if now.Before(s.toldExpiry) {
		count += s.told
	}
	return count
}

// unexplained counts the recent deaths that no other convicted digest took part
// in.
func (b *strikeBook) unexplained(now time.Time, digest Digest, s *suspicion) int {
	count := 0
	for _, d := range s.deaths {
		if now.Sub(d.at) < strikeLifetime && !b.explained(d, digest) {
			count++
		}
	}
	return count
}

func (b *strikeBook) explained(d *death, digest Digest) bool {
	for _, other := range d.digests {
		if other != digest && b.digests[other] != nil && b.digests[other].convicted {
			return true
		}
	}
	return false
}

// convict judges the digests of a new death.
func (b *strikeBook) convict(now time.Time, d *death) {
	var convicted []Digest
	for _, digest := range d.digests {
		if s := b.digests[digest]; b.strikes(now, digest, s) >= QuarantineThreshold {
			convicted = append(convicted, digest)
		}
	}
	for _, digest := range convicted {
		s := b.digests[digest]
		s.convicted = true
		s.expiry = now.Add(strikeLifetime)
	}
	for _, digest := range convicted {
		b.exonerate(now, digest, convicted)
	}
}

// exonerate lets go the digests convicted earlier that the new conviction leaves
// with too few strikes.
func (b *strikeBook) exonerate(now time.Time, digest Digest, convicted []Digest) {
	for _, d := range b.digests[digest].deaths {
		for _, other := range d.digests {
			s := b.digests[other]
			if s == nil || !s.convicted || slices.Contains(convicted, other) {
				continue
			}
			if b.strikes(now, other, s) < QuarantineThreshold {
				s.convicted = false
			}
		}
	}
}

func (b *strikeBook) suspicion(digest Digest) *suspicion {
	s := b.digests[digest]
	if s == nil {
		s = &suspicion{}
		b.digests[digest] = s
	}
	return s
}

// expire forgets what no longer counts.
func (b *strikeBook) expire(now time.Time) {
	old := func(d *death) bool { return now.Sub(d.at) >= strikeLifetime }
	b.deaths = slices.DeleteFunc(b.deaths, old)
	if excess := len(b.deaths) - (maxDeaths - 1); excess > 0 {
		for _, d := range b.deaths[:excess] {
			d.at = time.Time{}
		}
		b.deaths = slices.Delete(b.deaths, 0, excess)
	}
	for digest, s := range b.digests {
		s.deaths = slices.DeleteFunc(s.deaths, old)
		if s.convicted && !now.Before(s.expiry) {
			s.convicted = false
		}
		if len(s.deaths) == 0 && !now.Before(s.toldExpiry) {
			delete(b.digests, digest)
		}
	}
}
