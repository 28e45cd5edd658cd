package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	simulationStep = 10 * time.Millisecond
	// messageDelay is the time until a statement reaches the other hosts.
	messageDelay = 120 * time.Millisecond
	// contact is the contact time of the simulated hosts. After it, a host is expected to know of each
	// change.
	contact = 3 * time.Second
)

// simulation is a group of hosts whose calls wait at a store.
type simulation struct {
	now     time.Time
	version uint64
	// digests holds the digest of each table in the store.
	digests map[Table]uint32
	hosts   []*simulatedHost
	// apart says that the hosts do not reach each other.
	apart bool
	calls int
	// changedAt holds when each table last changed.
	changedAt map[Table]time.Time
}

// simulatedHost is one host. Its calls are dead if they were made before a moment.
type simulatedHost struct {
	s        *simulation
	name     ident.Host
	plan     *Plan
	reporter Reporter
	calls    map[Table]*simulatedCall
	digests  map[Table]uint32
	oldest   map[Table]time.Duration
	inbox    []message
	rereads  map[Table]time.Time
}

type simulatedCall struct {
	made, ends time.Time
	wait       time.Duration
	dead       bool
}

type message struct {
	at         time.Time
	from       ident.Host
	statements []Statement
}

func newSimulation(hosts int, apart bool) *simulation {
	s := &simulation{now: time.Unix(1000, 0), version: 1, digests: map[Table]uint32{}, apart: apart, changedAt: map[Table]time.Time{}}
	for i := range hosts {
		h := &simulatedHost{s: s, name: ident.Host(fmt.Sprint("h", i)), calls: map[Table]*simulatedCall{}, digests: map[Table]uint32{}, oldest: map[Table]time.Duration{}, rereads: map[Table]time.Time{}}
		h.plan = NewPlan(Options{Host: h.name, Contact: contact, Clock: func(now time.Time) int64 { return now.UnixMilli() }})
		s.hosts = append(s.hosts, h)
		for _, t := range tables {
			h.respond(t)
		}
	}
	return s
}

// respond has the store respond to the host's call for a table, which makes the next one.
func (h *simulatedHost) respond(t Table) {
	h.digests[t] = h.s.digests[t]
	h.plan.End(h.s.now, t, Position{Era: 1, Version: h.s.version}, h.digests[t])
	h.call(t)
}

func (h *simulatedHost) call(t Table) {
	h.s.calls++
	wait := h.plan.Begin(h.s.now, t)
	h.calls[t] = &simulatedCall{made: h.s.now, ends: h.s.now.Add(wait), wait: wait}
}

// step lets a moment pass, with changes of the tables.
func (s *simulation) step(changed ...Table) {
	s.now = s.now.Add(simulationStep)
	for _, t := range changed {
		s.version++
		s.digests[t]++
		s.changedAt[t] = s.now
	}
	for _, h := range s.hosts {
		h.step()
	}
}

func (h *simulatedHost) step() {
	now := h.s.now
	for len(h.inbox) > 0 && !h.inbox[0].at.After(now) {
		for _, t := range h.plan.Merge(now, h.inbox[0].from, h.inbox[0].statements) {
			h.rereads[t] = now.Add(500 * time.Millisecond)
		}
		h.inbox = h.inbox[1:]
	}
	for _, t := range tables {
		c := h.calls[t]
		switch {
		case !h.rereads[t].IsZero() && !now.Before(h.rereads[t]):
			h.rereads[t] = time.Time{}
			if h.plan.Outdated(t) {
				h.s.calls++
				h.respond(t)
			}
		case c.dead && now.Sub(c.ends) >= Grace:
			// The failed call is followed by a read of the table.
			h.s.calls++
			h.respond(t)
		case !c.dead && (!now.Before(c.ends) || h.digests[t] != h.s.digests[t]):
			h.respond(t)
		case c.wait > ShortWait && h.plan.DueIn(now, t) <= 0:
			h.call(t)
		}
		h.oldest[t] = max(h.oldest[t], h.plan.Age(now, t))
	}
	if h.s.apart {
		return
	}
	if statements := h.reporter.Take(now, h.plan.OwnStatements); statements != nil {
		for _, other := range h.s.hosts {
			if other != h {
				other.inbox = append(other.inbox, message{now.Add(messageDelay), h.name, statements})
			}
		}
	}
}

// silence makes all calls that wait now dead.
func (s *simulation) silence() {
	for _, h := range s.hosts {
		for _, c := range h.calls {
			c.dead = true
		}
	}
}

func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.step()
	}
}

// behind returns the number of hosts that do not have the newest rows of a table.
func (s *simulation) behind(t Table) int {
	n := 0
	for _, h := range s.hosts {
		if h.digests[t] != s.digests[t] {
			n++
		}
	}
	return n
}

// Guards against a wait on a silent connection that nobody ends: hosts whose calls have all gone silent
// know of each change once their connections have worked for the contact time.
func TestSilentCallsAreNoticedWithinTheContactTime(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 7, 60, 300} {
		for _, apart := range []bool{false, true} {
			for seed := range max(60/hosts, 2) {
				s := newSimulation(hosts, apart)
				s.run(5*time.Second + time.Duration(seed)*310*time.Millisecond)
				s.silence()
				s.step(Configuration, Targets)
				s.run(contact)
				if n, m := s.behind(Configuration), s.behind(Targets); n+m > 0 {
					t.Errorf("%d hosts, apart %v, seed %d: %d and %d hosts don't know of the changes", hosts, apart, seed, n, m)
				}
			}
		}
	}
}

// Guards against tables whose age nobody knows, and against calls that say nothing new: a group asks as
// often as one host does, beside a call of each host for each table every 30 s and for each change.
func TestTablesAreConfirmedWithFewCalls(t *testing.T) {
	const duration = 2 * time.Minute
	for _, hosts := range []int{1, 7, 60} {
		for _, c := range []struct {
			name string
			// every is the time between two changes of the table; zero means that there are none.
			every time.Duration
			table Table
		}{
			{"no changes", 0, 0},
			{"crashes", 7 * time.Second, Hosts},
			{"targets", 3 * time.Second, Targets},
		} {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, c.name), func(t *testing.T) {
				s := newSimulation(hosts, false)
				started, changes := s.now, 0
				for s.now.Sub(started) < duration {
					if c.every > 0 && s.now.Sub(started)%c.every == 0 {
						changes++
						s.step(c.table)
					} else {
						s.step()
					}
				}
				for _, h := range s.hosts {
					for _, table := range tables {
						limit := contact
						if table == Hosts {
							limit = 12 * time.Second
						}
						if h.oldest[table] > limit {
							t.Fatalf("%v was not confirmed for %v, want at most %v", table, h.oldest[table], limit)
						}
					}
				}
				seconds := duration.Seconds()
				// Each of the group's confirmations may take two calls: one ends another that waits.
				limit := float64(len(tables)*hosts)*(4+seconds/(LongWait-longWaitSpread).Seconds()) + float64(changes*hosts) +
					2*float64(len(tables))*seconds/newIntervals(Targets, contact).wait.Seconds()
				if float64(s.calls) > limit {
					t.Errorf("%d calls, want at most %.0f", s.calls, limit)
				}
				t.Logf("%d calls, %.2f a second and host", s.calls, float64(s.calls)/seconds/float64(hosts))
			})
		}
	}
}

// Guards against a call that ends because its table is due, and is followed by one that waits again.
func TestTableThatIsDueIsAskedForAtOnce(t *testing.T) {
	for range 100 {
		p := NewPlan(Options{Contact: contact, Clock: func(now time.Time) int64 { return now.UnixMilli() }})
		now := time.Unix(1000, 0)
		p.End(now, Targets, Position{Era: 1, Version: 1}, 0)
		p.Begin(now, Targets)
		due := now.Add(p.DueIn(now, Targets))
		if wait := p.Begin(due, Targets); wait != ShortWait {
			t.Fatalf("the next call waits %v, want %v", wait, ShortWait)
		}
	}
}

func TestRowsThatDifferFromNewerOnesAreOutdatedUntilTheyAreRead(t *testing.T) {
	s := newSimulation(2, true)
	a, b := s.hosts[0].plan, s.hosts[1].plan
	s.now = s.now.Add(time.Second)
	a.End(s.now, Configuration, Position{Era: 1, Version: 9}, 77)
	later := s.now.Add(messageDelay)
	if got := b.Merge(later, "h0", a.OwnStatements(s.now)); len(got) == 0 || got[0] != Configuration || !b.Outdated(Configuration) {
		t.Fatalf("suspected %v, want the configuration", got)
	}
	b.End(later, Configuration, Position{Era: 1, Version: 9}, 77)
	if b.Outdated(Configuration) {
		t.Error("the configuration is outdated after it was read")
	}
}

func TestOlderStatementConfirmsAndSuspectsNothing(t *testing.T) {
	s := newSimulation(2, true)
	a, b := s.hosts[0].plan, s.hosts[1].plan
	statements := a.OwnStatements(s.now)
	later := s.now.Add(time.Second)
	b.End(later, Targets, Position{Era: 1, Version: 9}, 77)
	if got := b.Merge(later.Add(time.Millisecond), "h0", statements); len(got) > 0 || b.Outdated(Targets) {
		t.Errorf("an older statement made %v outdated", got)
	}
}

func TestImpossibleMomentsOfStatementsAreIgnored(t *testing.T) {
	for _, ms := range []int64{1<<63 - 1, -1 << 63, 0} {
		s := newSimulation(1, true)
		h := s.hosts[0]
		before := h.plan.AsOf(Targets)
		now := s.now.Add(10 * time.Second)
		h.plan.Merge(now, "h1", []Statement{{Table: Targets, Digest: h.digests[Targets], AsOfMs: ms}, {Table: 99, AsOfMs: now.UnixMilli()}})
		if after := h.plan.AsOf(Targets); after != before {
			t.Errorf("as of %d ms: confirmed at %v, want %v", ms, after, before)
		}
	}
}

func TestDigestDoesNotDependOnTheOrderOfChanges(t *testing.T) {
	var a, b Digest
	a.Toggle("x", 1)
	a.Toggle("y", 2)
	b.Toggle("y", 2)
	b.Toggle("z", 3)
	b.Toggle("x", 1)
	b.Toggle("z", 3)
	if a != b || a.InEra(1) == a.InEra(2) || a == 0 {
		t.Errorf("digests %v and %v of the same rows", a, b)
	}
}

// TestNoCallWaitsLongerThanTheStoreAllows guards against calls that the store rejects because the contact time is long.
func TestNoCallWaitsLongerThanTheStoreAllows(t *testing.T) {
	plan := NewPlan(Options{Contact: 10 * time.Minute})
	now := time.Now()
	plan.End(now, Targets, Position{Era: 1, Version: 1}, 0)
	for range 3 {
		if wait := plan.Begin(now, Targets); wait > LongWait {
			t.Errorf("a call waits %v, want at most %v", wait, LongWait)
		}
		now = now.Add(LongWait)
	}
}
