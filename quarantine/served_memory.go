package quarantine

import "time"

const (
	// servedRetention is how long before a crash a served run of a digest still clears it.
	// Content that many callers send is thus no suspect when targets crash for another
	// reason.
	servedRetention = 10 * time.Second
	// maxServed bounds the digests of one generation.
	maxServed = 4096
)

// servedMemory holds when digests were last served. It has two generations, so that old
// entries are dropped without a search for them.
type servedMemory struct {
	newer, older map[Digest]time.Time
	// startedAt is when the newer generation was started.
	startedAt time.Time
}

func (m *servedMemory) add(now time.Time, digest Digest) {
	if m.newer == nil || len(m.newer) >= maxServed || now.Sub(m.startedAt) >= servedRetention {
		m.newer, m.older = make(map[Digest]time.Time), m.newer
		m.startedAt = now
	}
	m.newer[digest] = now
}

// lastServed returns when the digest was last served, or zero if that is not remembered.
func (m *servedMemory) lastServed(digest Digest) time.Time {
	if at, ok := m.newer[digest]; ok {
		return at
	}
	return m.older[digest]
}
