package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	testToken = "caller-token"
	waitLimit = 20 * time.Second
)

// fakeSource is a settings.Source with a fixed snapshot.
type fakeSource struct{ snapshot *settings.Snapshot }

func (s *fakeSource) Current() *settings.Snapshot { return s.snapshot }
func (s *fakeSource) Changed() <-chan struct{}    { return nil }

// fakeGrant records its reports and how it was returned.
type fakeGrant struct {
	target    settings.Target
	expires   time.Time
	preempted chan *outcome.Refusal
	suspects  []quarantine.Digest

	mu       sync.Mutex
	reports  []admission.Progress
	declines []admission.DeclineCause
	ends     []admission.End

	// finished returns how many requests have an outcome in the time line, and finishedAtEnd is
	// what it returned when the grant ended.
	finished      func() int
	finishedAtEnd int
}

func (g *fakeGrant) Target() settings.Target            { return g.target }
func (g *fakeGrant) Expires() time.Time                 { return g.expires }
func (g *fakeGrant) Suspects() []quarantine.Digest      { return g.suspects }
func (g *fakeGrant) Preempted() <-chan *outcome.Refusal { return g.preempted }
func (g *fakeGrant) Decline(cause admission.DeclineCause) {
	g.update(func() { g.declines = append(g.declines, cause) })
}

func (g *fakeGrant) End(e admission.End) {
	g.update(func() { g.ends, g.finishedAtEnd = append(g.ends, e), g.finished() })
}

func (g *fakeGrant) Progress(p admission.Progress) {
	g.update(func() { g.reports = append(g.reports, p) })
}

func (g *fakeGrant) reported() []admission.Progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.reports)
}

func (g *fakeGrant) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

func (g *fakeGrant) returned() (declines []admission.DeclineCause, ends []admission.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.declines, g.ends
}

// fakeAdmitter grants its targets in order, and then the last one repeatedly.
type fakeAdmitter struct {
	mu      sync.Mutex
	targets []settings.Target
	lease   time.Duration
	refusal *outcome.Refusal
	block   bool
	// suspects are those of the grants.
	suspects []quarantine.Digest
	// finished is that of the grants.
	finished func() int

	requests []admission.Request
	grants   []*fakeGrant
}

func (a *fakeAdmitter) Acquire(ctx context.Context, r admission.Request) (pool.Grant, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, r)
	if a.refusal != nil {
		return nil, a.refusal
	}
	if a.block {
		a.mu.Unlock()
		<-ctx.Done()
		a.mu.Lock()
		return nil, ctx.Err()
	}
	next := a.targets[min(len(a.grants), len(a.targets)-1)]
	grant := &fakeGrant{
		target:    next,
		expires:   time.Now().Add(a.lease),
		preempted: make(chan *outcome.Refusal, 1),
		suspects:  a.suspects,
		finished:  a.finished,
	}
	a.grants = append(a.grants, grant)
	return grant, nil
}

func (a *fakeAdmitter) setTargets(targets ...settings.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.targets = targets
}

func (a *fakeAdmitter) received() []admission.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]admission.Request(nil), a.requests...)
}

func (a *fakeAdmitter) grant(i int) *fakeGrant {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i >= len(a.grants) {
		return nil
	}
	return a.grants[i]
}

// eventLog is a timeline.Recorder that stores all events.
type eventLog struct {
	mu     sync.Mutex
	events []timeline.Event
}

func (l *eventLog) Record(e timeline.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

func (l *eventLog) count(kind timeline.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// fixture is an Entry with fake dependencies, behind a test server.
type fixture struct {
	t        *testing.T
	admitter *fakeAdmitter
	events   *eventLog
	entry    *Entry
	server   *httptest.Server
}

func newFixture(t *testing.T, change func(*Options), targets ...settings.Target) *fixture {
	t.Helper()
	f := &fixture{t: t, events: new(eventLog), admitter: &fakeAdmitter{targets: targets, lease: time.Minute}}
	f.admitter.finished = func() int { return f.events.count(timeline.Finished) }
	options := Options{
		Host:     "host-1",
		Settings: &fakeSource{testSnapshot()},
		Admitter: f.admitter,
		Targets:  target.NewClient(target.Options{Recorder: f.events}),
		Recorder: f.events,
	}
	if change != nil {
		change(&options)
	}
	f.entry = New(options)
	f.server = httptest.NewServer(f.entry.Handler())
	t.Cleanup(func() {
		f.server.Close()
		f.entry.executions.Wait()
	})
	return f
}

func testSnapshot() *settings.Snapshot {
	tiers := []*settings.Tier{
		{Name: "gold", Rank: 0, DefaultDeadline: settings.Duration(time.Minute), Teams: []ident.Team{"bureau"}},
		{Name: "bulk", Rank: 5, DefaultDeadline: settings.Duration(time.Minute)},
		{Name: "staff", Rank: 7, DefaultDeadline: settings.Duration(time.Minute), Teams: []ident.Team{"other"}},
	}
	pools := []*settings.Pool{
		{Name: "drafts", Kind: settings.EnginePool, Model: "draft-1"},
		{Name: "filing", Kind: settings.ServicePool, NonIdempotentPaths: []string{"/submit"}},
	}
	team := &settings.Team{Name: "bureau", DefaultTier: "bulk", CallerTokenHashes: []string{settings.TokenHash(testToken)}}
	return settings.NewSnapshot(3, tiers, pools, nil, []*settings.Team{team})
}

func (f *fixture) request(method, path, body string, header ...string) *http.Request {
	f.t.Helper()
	r, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// awaitEnd waits until the first grant has ended, which may be after the caller has the
// whole response, and returns its only end.
func (f *fixture) awaitEnd() admission.End {
	f.t.Helper()
	var ends []admission.End
	eventually(f.t, "the grant is returned", func() bool {
		_, ends = f.admitter.grant(0).returned()
		return len(ends) > 0
	})
	if len(ends) != 1 {
		f.t.Fatalf("ends are %+v, want one", ends)
	}
	// Otherwise the time line shows that the owner refuses more urgent requests during this one.
	grant := f.admitter.grant(0)
	grant.update(func() {
		if grant.finishedAtEnd == 0 {
			f.t.Error("the end was reported to the owner before it was recorded")
		}
	})
	return ends[0]
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", waitLimit, description)
}
