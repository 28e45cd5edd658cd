package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/tabletest"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/retrybudget"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/streamversion"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/trial"
)

// targetBehavior is what a scripted target does with one dispatch.
type targetBehavior func(ctx context.Context, d Dispatch) (*Response, error)

// scriptedClient is a TargetClient that applies one behavior per dispatch, in order.
// The last one is repeated.
type scriptedClient struct {
	mu         sync.Mutex
	behaviors  []targetBehavior
	dispatches []Dispatch
	// probe is the result of all probes, which take probeTime.
	probe     target.ProbeResult
	probeTime time.Duration
}

func (c *scriptedClient) Probe(context.Context, route.Target) target.ProbeResult {
	time.Sleep(c.probeTime)
	return c.probe
}

func (c *scriptedClient) Send(ctx context.Context, d Dispatch) (*Response, error) {
	c.mu.Lock()
	c.dispatches = append(c.dispatches, d)
	next := c.behaviors[0]
	if len(c.behaviors) > 1 {
		c.behaviors = c.behaviors[1:]
	}
	c.mu.Unlock()
	return next(ctx, d)
}

func respond(status int, body string) targetBehavior {
	return func(context.Context, Dispatch) (*Response, error) {
		return &Response{
			Status: status, Header: http.Header{}, Length: int64(len(body)),
			Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}
}

// respondStream responds with events and then ends with err. With io.EOF the stream
// is complete.
func respondStream(events string, err error) targetBehavior {
	return func(context.Context, Dispatch) (*Response, error) {
		body := io.MultiReader(strings.NewReader(events), errorReader{err})
		return &Response{Status: 200, Header: http.Header{}, Length: -1, Stream: true, Body: io.NopCloser(body)}, nil
	}
}

func failWith(f DispatchError) targetBehavior {
	return func(context.Context, Dispatch) (*Response, error) {
		failure := f
		failure.Err = errors.New("scripted")
		return nil, &failure
	}
}

// hang does not respond until the exchange is cancelled.
func hang(ctx context.Context, _ Dispatch) (*Response, error) {
	<-ctx.Done()
	return nil, &DispatchError{Result: schedule.Broken, Sent: true, Err: ctx.Err()}
}

// errorReader is a reader that returns an error.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// recordingSink is a Sink that records the status and the body.
type recordingSink struct {
	status int
	body   bytes.Buffer
}

func (s *recordingSink) WriteHead(status int, _ http.Header, _ int64, _ time.Time) error {
	s.status = status
	return nil
}

func (s *recordingSink) Write(p []byte) error {
	s.body.Write(p)
	return nil
}

// recordingObserver is an Observer that records the last summary.
type recordingObserver struct{ last Summary }

func (o *recordingObserver) Finished(summary Summary) { o.last = summary }

// fixture is a relay with scripted targets.
type fixture struct {
	relay    *Relay
	client   *scriptedClient
	table    *tabletest.Table
	quotas   *quota.Limiter
	observer *recordingObserver
	team     *route.Team
	pools    map[ident.Pool]*route.Pool
	// wrapSink, if not nil, changes how callers take the responses.
	wrapSink func(Sink) Sink
}

// discardLogger drops its lines.
var discardLogger = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}

// fixtureTargets is the number of targets of a fixture.
const fixtureTargets = 8

func newFixture(t *testing.T, r route.Route, behaviors ...targetBehavior) *fixture {
	t.Helper()
	r.HostName, r.PathPrefix, r.WeightedPools = "api.example", "/", []route.WeightedPool{{Pool: "p", Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = 5 * time.Second
	}
	if r.LatencyObjective == 0 {
		r.LatencyObjective = 500 * time.Millisecond
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	team := &route.Team{Name: "acme", Keys: []string{"key"}, Quota: route.Quota{PerSecond: 100, Burst: 100}}
	table := route.NewTable(7, route.Limits{}, []*route.Route{&r}, []*route.Pool{{Name: "p"}}, []*route.Team{team})
	scheduler := schedule.New(schedule.Options{})
	d := NewDispatcher(DispatcherOptions{
		Scheduler: scheduler, OnStateChange: func() {}, OnHealthEvents: func([]schedule.HealthEvent) {},
		OnCrashes: func([]quarantine.Crash) {}, OnQuarantineEvents: func([]schedule.QuarantineEvent) {},
		OnSuspicionEvents: func([]schedule.SuspicionEvent) {}, OnProbe: func(quarantine.Digest, route.Target, target.ProbeResult) {},
		OnLimitEvents: func([]schedule.LimitEvent) {}, OnRateEvents: func([]schedule.RateEvent) {}, OnMachineEvents: func([]schedule.MachineEvent) {},
		OnScarcityEvents: func([]schedule.ScarcityEvent) {}, OnTrialEnd: func(quarantine.Digest, ident.Target, trial.Result) {},
	})
	d.Configure(time.Now(), table.Pools, targetSnapshot(fixtureTargets))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = d.Run(ctx) }()
	f := &fixture{
		client:   &scriptedClient{behaviors: behaviors},
		table:    tabletest.New(),
		quotas:   quota.NewLimiter(time.Now().Add(-time.Hour), quota.Limits{Window: 8 * time.Second}),
		observer: &recordingObserver{},
		team:     team,
		pools:    table.Pools,
	}
	f.relay = New(Options{
		Table:        func() *route.Table { return table },
		Dispatcher:   d,
		TargetClient: f.client,
		Quotas:       f.quotas,
		RetryBudget:  newRetryBudget(),
		Streams:      streamversion.NewTracker(),

		ConfirmTargets: func(context.Context) error { return nil },
		ReadTargets:    func() {},
		Trials:         trial.NewLedger(trial.Options{Table: f.table, Host: "h1", Logger: discardLogger, Now: time.Now}),
		Observer:       f.observer,
	})
	return f
}

// targetSnapshot returns a snapshot of n targets.
func targetSnapshot(n int) *route.TargetSnapshot {
	targets := &route.TargetSnapshot{Targets: map[ident.Target]route.Target{}}
	for i := range n {
		name := ident.Target(fmt.Sprintf("t%d", i+1))
		targets.Targets[name] = route.Target{Name: name, Pool: "p", Slots: 4}
	}
	return targets
}

// keepTargets removes all targets but the first n.
func (f *fixture) keepTargets(n int) {
	f.relay.options.Dispatcher.Configure(time.Now(), f.pools, targetSnapshot(n))
}

func (f *fixture) call(ctx context.Context, change func(*Call)) (Result, *recordingSink) {
	c := &Call{
		ID: "try-1", HostName: "api.example", Path: "/x", RequestURI: "/x", Method: "POST",
		Header: http.Header{}, Key: "key", ArrivalTime: time.Now(),
	}
	if change != nil {
		change(c)
	}
	sink := &recordingSink{}
	return f.relay.Serve(ctx, c, f.sinkFor(sink)), sink
}

// sinkFor returns the sink that the relay writes to on behalf of a recording one.
func (f *fixture) sinkFor(sink *recordingSink) Sink {
	if f.wrapSink == nil {
		return sink
	}
	return f.wrapSink(sink)
}

// newRetryBudget returns the budget of a host that has run for long.
func newRetryBudget() *retrybudget.Budget {
	started := time.Now().Add(-time.Hour)
	b := retrybudget.New(started, retrybudget.Limits{Ratio: 1, Allowance: 100, Window: 10 * time.Second})
	b.SetHostCount(started, 1)
	return b
}
