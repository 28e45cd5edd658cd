package streamversion

import (
	"maps"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// defaultLifetime is how long a caller may take a stream up if no route bounds it.
	defaultLifetime = time.Minute
	// lifetimeFactor is the multiple of the longest timeout of a route after which no caller
	// is expected to take its stream up any more.
	lifetimeFactor = 2
	// maxListAge is the age of the list of targets up to which it may be concluded from it
	// that a pool has only one version.
	maxListAge = 12 * time.Second
	// soleVersionInterval is the time between two reports of sole versions.
	soleVersionInterval = 250 * time.Millisecond
	// peerTimeout is how long another host must have been silent to be sent all records again.
	peerTimeout = time.Second
	// reportAgainDelay is how long the records are held back then, so that they are sent once
	// for several hosts.
	reportAgainDelay = 300 * time.Millisecond
)

// Tracker is what one host knows of the origins of streams. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// lifetime is how long callers may take a stream up; configured says that it comes from a
	// configuration.
	lifetime   time.Duration
	configured bool
	records    records
	// own holds the streams that began at this host, oldest first.
	own    []ownRecord
	outbox outbox
	pools  map[ident.Pool]*poolHistory
	// targets is the last list of targets, listedAt when the store last confirmed it.
	targets  map[ident.Target]route.Target
	listedAt time.Time
	// peerHeardAt holds when a message of each other host was last received.
	peerHeardAt     map[ident.Host]time.Time
	solesReportedAt time.Time
	// reportAgainAt is when all records of this host are due to be sent again, or zero.
	reportAgainAt time.Time
}

// NewTracker returns a Tracker that knows of no stream.
func NewTracker() *Tracker {
	return &Tracker{
		lifetime:    defaultLifetime,
		records:     newRecords(),
		pools:       make(map[ident.Pool]*poolHistory),
		peerHeardAt: make(map[ident.Host]time.Time),
	}
}

// SetLongestTimeout sets the longest timeout of a route, which bounds how long callers may take
// streams up. Zero means that there is no bound. While streams of an earlier configuration may
// go on, its bound holds if it is longer.
func (t *Tracker) SetLongestTimeout(timeout time.Duration) {
	lifetime := lifetimeFactor * timeout
	if timeout == 0 {
		lifetime = defaultLifetime
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.configured {
		lifetime = max(lifetime, t.lifetime)
	}
	t.lifetime, t.configured = lifetime, true
}

// RecordBegin records that a target brought the first event of a stream, or the first one
// after its caller took it up. Unsure says that the target may run another version than its
// entry says. Resumable streams only need be recorded.
func (t *Tracker) RecordBegin(now time.Time, firstAttempt ident.Request, began route.Target, unsure bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Record{Key: NewKey(firstAttempt), Origin: Origin{Pool: began.Pool, Version: began.Version, Unsure: unsure}}
	t.records.put(now, r.Key, r.Origin)
	t.records.expire(now, t.lifetime)
	t.addOwn(now, ownRecord{record: r, target: began.Name, process: began.StartUnixMs, at: now})
	t.outbox.add(r)
}

// Find returns where a stream began, and false if that isn't known for sure. The pools are
// those that the stream's route allows.
func (t *Tracker) Find(now time.Time, firstAttempt ident.Request, pools []route.WeightedPool) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.expire(now, t.lifetime)
	if known, ok := t.records.origins[NewKey(firstAttempt)]; ok && firstAttempt != "" {
		return known.origin, !known.origin.Unsure
	}
	if len(pools) != 1 {
		return Origin{}, false
	}
	h := t.pools[pools[0].Pool]
	if h == nil || !h.sole || now.Sub(h.since) < t.lifetime || now.Sub(t.listedAt) > maxListAge {
		return Origin{}, false
	}
	return Origin{Pool: pools[0].Pool, Version: h.version, Assumed: true}, true
}

// RecordGap records that targets may have come and gone unnoticed. How long this host has seen one
// version only counts anew, unless another host has seen no gap.
func (t *Tracker) RecordGap(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.pools {
		h.recordGap(now)
	}
}

// ConfirmTargets records that the store has confirmed the list of targets.
func (t *Tracker) ConfirmTargets(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedAt = now
}

// SetTargets applies a list of targets.
func (t *Tracker) SetTargets(now time.Time, targets map[ident.Target]route.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := make(map[ident.Pool]map[string]bool)
	for name, listed := range targets {
		if versions[listed.Pool] == nil {
			versions[listed.Pool] = make(map[string]bool)
		}
		versions[listed.Pool][listed.Version] = true
		if before, known := t.targets[name]; known {
			t.correctOwn(now, before, listed)
		}
	}
	t.targets = targets
	for pool, present := range versions {
		h := t.pools[pool]
		if h == nil {
			h = &poolHistory{gapAt: now}
			t.pools[pool] = h
		}
		h.observe(now, present)
	}
}

// SetHosts records that the set of other hosts has changed. New ones are sent the records.
func (t *Tracker) SetHosts(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportAgainSoon(now)
}

func (t *Tracker) reportAgainSoon(now time.Time) {
	if t.reportAgainAt.IsZero() {
		t.reportAgainAt = now.Add(reportAgainDelay)
	}
}

// Merge applies the report of another host. A host that was silent before may have missed
// records and is sent them again.
func (t *Tracker) Merge(now time.Time, host ident.Host, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.peerHeardAt[host]) > peerTimeout {
		t.forgetSilentPeers(now)
		t.reportAgainSoon(now)
	}
	t.peerHeardAt[host] = now
	for _, record := range r.Records {
		t.records.put(now, record.Key, record.Origin)
	}
	t.records.expire(now, t.lifetime)
	for _, s := range r.SoleVersions {
		if h := t.pools[s.Pool]; h != nil {
			h.merge(now, s)
		}
	}
}

// forgetSilentPeers drops the hosts that have been silent for so long that none of the
// records they were sent is left.
func (t *Tracker) forgetSilentPeers(now time.Time) {
	maps.DeleteFunc(t.peerHeardAt, func(_ ident.Host, at time.Time) bool { return now.Sub(at) > t.lifetime })
}

// TakeReport returns what to send to the other hosts. The caller must send it: each record
// is returned only twice.
func (t *Tracker) TakeReport(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reportAgainAt.IsZero() && !now.Before(t.reportAgainAt) {
		t.queueOwn(now)
	}
	report := Report{Records: t.outbox.take()}
	if now.Sub(t.solesReportedAt) < soleVersionInterval || now.Sub(t.listedAt) > maxListAge {
		return report
	}
	t.solesReportedAt = now
	for name, h := range t.pools {
		if h.sole {
			report.SoleVersions = append(report.SoleVersions, SoleVersion{Pool: name, Version: h.version, Age: now.Sub(h.since), ListAge: now.Sub(t.listedAt)})
		}
	}
	return report
}
