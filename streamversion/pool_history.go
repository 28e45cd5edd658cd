package streamversion

import "time"

// poolHistory is what is known of the versions of one pool's targets.
type poolHistory struct {
	// version is the only version of the targets, if sole is set.
	version string
	sole    bool
	// since is from when on no other version is known to have served.
	since time.Time
	// mixedAt is when this host last saw another version, or zero.
	mixedAt time.Time
	// gapAt is when this host began to observe the pool, or last may have missed other versions.
	gapAt time.Time
}

// recordGap records that other versions may have served unnoticed.
func (h *poolHistory) recordGap(now time.Time) { h.since, h.gapAt = now, now }

// observe records the versions of the pool's targets. A pool without targets keeps the
// version that it had.
func (h *poolHistory) observe(now time.Time, versions map[string]bool) {
	if len(versions) == 0 {
		return
	}
	if len(versions) == 1 && h.sole && versions[h.version] {
		return
	}
	if h.sole || !h.since.IsZero() {
		h.mixedAt = now
	}
	h.since, h.sole = now, len(versions) == 1
	for version := range versions {
		h.version = version
	}
}

// merge applies what another host has observed for longer. It must have observed what this one may have
// missed.
func (h *poolHistory) merge(now time.Time, s SoleVersion) {
	if !h.sole || h.version != s.Version || now.Add(-s.ListAge).Before(h.gapAt) {
		return
	}
	since := now.Add(-s.Age)
	if since.Before(h.mixedAt) {
		since = h.mixedAt
	}
	if since.Before(h.since) {
		h.since = since
	}
}
