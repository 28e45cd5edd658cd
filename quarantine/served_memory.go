package quarantine

import "time"

const (
	// servedRetention is how long before a crash a served run of content still clears it.
	// Content that many callers send is thus no suspect when targets crash for another
	// reason.
	servedRetention = 10 * time.Second
	// partRetention is the same for parts of prompts. It is longer because each host
	// serves a part only now and then.
	partRetention = 2 * time.Minute
	// maxServed bounds the digests of one generation.
	maxServed = 4096
)

// servedMemory holds when digests were last served. It has two generations, so that old
// entries are dropped without a search for them.
type servedMemory struct {
	// retention is how long an entry is of use.
	retention    time.Duration
	newer, older map[Digest]time.Time
	// startedAt is when the newer generation was started.
	startedAt time.Time
}

func (m *servedMemory) add(now time.Time, digest Digest) {
	if m.newer == nil || len(m.newer) >= maxServed || now.Sub(m.startedAt) >= m.retention {
		m.newer, m.older = make(map[Digest]time.Time), m.newer
		m.startedAt = now
	}
	m.newer[digest] = now
}

// clears reports whether the digest was served after a crash, or shortly before.
func (m *servedMemory) clears(digest Digest, crashed time.Time) bool {
	at, ok := m.newer[digest]
	if !ok {
		at, ok = m.older[digest]
	}
	return ok && at.After(crashed.Add(-m.retention))
}
