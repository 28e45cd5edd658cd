package freshness

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// suspicionInterval is the least time between two suspicions that this host has missed changes of the
// same table. Each may cost a read of the whole table.
const suspicionInterval = 2 * time.Second

// Plan decides how long the calls of one host wait for changes. It is safe for concurrent use.
type Plan struct {
	options Options

	mu     sync.Mutex
	tables map[Table]*tableState
}

// NewPlan returns a plan of a host that knows no table yet.
func NewPlan(o Options) *Plan {
	if o.OnConfirm == nil {
		o.OnConfirm = func(Table, time.Time) {}
	}
	p := &Plan{options: o, tables: make(map[Table]*tableState, len(tables))}
	for _, t := range tables {
		p.tables[t] = &tableState{intervals: newIntervals(t, o.Contact)}
	}
	return p
}

// Begin returns how long a call for changes of a table is to wait.
func (p *Plan) Begin(now time.Time, t Table) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.tables[t]
	if p.untilDue(now, s) <= 0 {
		s.leads = true
		return ShortWait
	}
	since := s.followsAt
	if s.leads {
		since = s.yieldsAt
	}
	s.leads = now.Sub(since) >= s.intervals.due
	if s.leads {
		return s.intervals.wait
	}
	return LongWait - rand.N(longWaitSpread)
}

// End records that the response to a call for a table was applied: its position, and the digest of the rows
// of the table up to it. A response states the version of the whole store, so that it also confirms the other
// tables that were last read at this version.
func (p *Plan) End(now time.Time, t Table, at Position, digest uint32) {
	p.mu.Lock()
	s := p.tables[t]
	s.loaded, s.position, s.digest = true, at, digest
	s.confirm(now, true, s.leads)
	confirmed := []Table{t}
	for _, other := range tables {
		o := p.tables[other]
		if other == t || !o.loaded || o.position != at {
			continue
		}
		frequent := s.leads && s.intervals.wait < o.intervals.due
		o.confirm(now, true, frequent)
		if frequent {
			o.follow(now, t < other)
		}
		confirmed = append(confirmed, other)
	}
	p.mu.Unlock()
	for _, c := range confirmed {
		p.options.OnConfirm(c, now)
	}
}

// DueIn returns the time until a call for a table has to end so that another one confirms it, zero or
// less if it is due.
func (p *Plan) DueIn(now time.Time, t Table) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.untilDue(now, p.tables[t])
}

func (p *Plan) untilDue(now time.Time, s *tableState) time.Duration {
	return s.intervals.due + s.delay - now.Sub(s.asOf)
}

// Merge applies what another host states. Of two hosts that ask often, the one whose name sorts last
// leaves it to the other. It returns the tables of which the other host has had other
// rows since this host is known to have had the newest: unless that changes, it has missed some.
func (p *Plan) Merge(now time.Time, from ident.Host, statements []Statement) []Table {
	clock := p.options.Clock(now)
	if clock == 0 {
		return nil
	}
	var confirmed, suspected []Table
	p.mu.Lock()
	for _, statement := range statements {
		asOf, plausible := statement.asOf(now, clock)
		if !plausible || !statement.Table.valid() {
			continue
		}
		s := p.tables[statement.Table]
		same := s.loaded && statement.Digest == s.digest
		if same && statement.Frequent && now.Sub(asOf) < s.intervals.due {
			s.follow(now, from < p.options.Host)
		}
		switch {
		case !s.loaded || !asOf.After(s.asOf):
		case same:
			s.confirm(asOf, false, statement.Frequent)
			confirmed = append(confirmed, statement.Table)
		default:
			s.othersAsOf = asOf
			if now.Sub(s.suspectedAt) >= suspicionInterval {
				s.suspectedAt = now
				suspected = append(suspected, statement.Table)
			}
		}
	}
	p.mu.Unlock()
	for _, t := range confirmed {
		p.options.OnConfirm(t, p.AsOf(t))
	}
	return suspected
}

// Outdated reports whether another host is known to have had other rows of a table since this host is
// known to have had the newest.
func (p *Plan) Outdated(t Table) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.tables[t].othersAsOf.IsZero()
}

// AsOf returns when the rows of a table are known to have been the newest, or zero if it was not read.
func (p *Plan) AsOf(t Table) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tables[t].asOf
}

// Age returns the time since the rows of a table are known to have been the newest, or zero if it was
// not read.
func (p *Plan) Age(now time.Time, t Table) time.Duration {
	asOf := p.AsOf(t)
	if asOf.IsZero() {
		return 0
	}
	return max(now.Sub(asOf), 0)
}

// Statements returns what this host can state of the tables.
func (p *Plan) Statements(now time.Time) []Statement { return p.statements(now, false) }

// OwnStatements is like Statements, without what this host knows only from others.
func (p *Plan) OwnStatements(now time.Time) []Statement { return p.statements(now, true) }

func (p *Plan) statements(now time.Time, own bool) []Statement {
	clock := p.options.Clock(now)
	if clock == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var statements []Statement
	for _, t := range tables {
		s := p.tables[t]
		if !s.loaded || own && !s.own {
			continue
		}
		statements = append(statements, Statement{
			Table: t, Digest: s.digest, AsOfMs: clock - now.Sub(s.asOf).Milliseconds(), Frequent: s.own && s.frequent,
		})
	}
	return statements
}
