package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/retrybudget"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// reaction is what a scripted target does with one dispatch.
type reaction func(ctx context.Context, d Dispatch) (*Response, error)

// script is an Exchanger whose reactions are used one after another; the last one
// is repeated.
type script struct {
	mu         sync.Mutex
	reactions  []reaction
	dispatches []Dispatch
}

func (s *script) Send(ctx context.Context, d Dispatch) (*Response, error) {
	s.mu.Lock()
	s.dispatches = append(s.dispatches, d)
	next := s.reactions[0]
	if len(s.reactions) > 1 {
		s.reactions = s.reactions[1:]
	}
	s.mu.Unlock()
	return next(ctx, d)
}

func answers(status int, body string) reaction {
	return func(context.Context, Dispatch) (*Response, error) {
		return &Response{
			Status: status, Header: http.Header{}, Length: int64(len(body)), Load: -1,
			Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}
}

// streams answers with events and then ends with err; io.EOF means whole.
func streams(events string, err error) reaction {
	return func(context.Context, Dispatch) (*Response, error) {
		body := io.MultiReader(strings.NewReader(events), failing{err})
		return &Response{Status: 200, Header: http.Header{}, Length: -1, Stream: true, Load: -1, Body: io.NopCloser(body)}, nil
	}
}

func fails(f DispatchError) reaction {
	return func(context.Context, Dispatch) (*Response, error) {
		f.Err = errors.New("scripted")
		return nil, &f
	}
}

// hangs answers nothing until the exchange is given up.
func hangs(ctx context.Context, _ Dispatch) (*Response, error) {
	<-ctx.Done()
	return nil, &DispatchError{Result: schedule.Broken, Sent: true, Err: ctx.Err()}
}

// failing is a reader that ends with an error.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// recorder is a Sink that keeps what it gets.
type recorder struct {
	status int
	body   bytes.Buffer
}

func (r *recorder) WriteHead(status int, _ http.Header, _ int64) error {
	r.status = status
	return nil
}

func (r *recorder) Write(p []byte) error {
	r.body.Write(p)
	return nil
}

// summaries is an Observer that keeps the last summary.
type summaries struct{ last Summary }

func (s *summaries) Finished(summary Summary) { s.last = summary }

// system is a relay before scripted targets.
type system struct {
	relay    *Relay
	script   *script
	quotas   *quota.Limiter
	observed *summaries
	team     *route.Team
}

func newSystem(t *testing.T, r route.Route, reactions ...reaction) *system {
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
	})
	roster := &route.TargetSnapshot{Targets: map[ident.Target]route.Target{}}
	for _, name := range []ident.Target{"t1", "t2", "t3"} {
		roster.Targets[name] = route.Target{Name: name, Pool: "p", Slots: 4}
	}
	d.Configure(time.Now(), table.Pools, roster)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = d.Run(ctx) }()
	s := &system{
		script:   &script{reactions: reactions},
		quotas:   quota.NewLimiter(time.Now().Add(-time.Hour), quota.Limits{Window: 8 * time.Second}),
		observed: &summaries{},
		team:     team,
	}
	s.relay = New(Options{
		Table:        func() *route.Table { return table },
		Dispatcher:   d,
		TargetClient: s.script,
		Quotas:       s.quotas,
		RetryBudget:  retrybudget.New(retrybudget.Limits{Ratio: 1, Allowance: 100, Window: 10 * time.Second}),
		Observer:     s.observed,
	})
	return s
}

func (s *system) call(ctx context.Context, change func(*Call)) (Result, *recorder) {
	c := &Call{
		ID: "try-1", HostName: "api.example", Path: "/x", RequestURI: "/x", Method: "POST",
		Header: http.Header{}, Key: "key", ArrivalTime: time.Now(),
	}
	if change != nil {
		change(c)
	}
	sink := &recorder{}
	return s.relay.Serve(ctx, c, sink), sink
}
