package relay

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

var (
	rejected       = failWith(DispatchError{Result: schedule.Rejected, NotRun: true, Sent: true})
	brokenResponse = failWith(DispatchError{Result: schedule.Broken, Sent: true})
	unreachable    = failWith(DispatchError{Result: schedule.Unreachable, NotRun: true})
)

// slowlyUnreachable fails to connect after 15 ms.
func slowlyUnreachable(ctx context.Context, d Dispatch) (*Response, error) {
	time.Sleep(15 * time.Millisecond)
	return unreachable(ctx, d)
}

func TestResponsesAndFailures(t *testing.T) {
	cases := []struct {
		name       string
		route      route.Route
		behaviors  []targetBehavior
		status     int
		body       string
		outcome    outcome.Outcome
		dispatches int
	}{
		{
			name:      "complete response",
			behaviors: []targetBehavior{respond(200, "yes")},
			status:    200, body: "yes", dispatches: 1,
		},
		{
			name:      "error response of a target is forwarded unchanged",
			route:     route.Route{Kind: route.NonIdempotent},
			behaviors: []targetBehavior{respond(500, "no")},
			status:    500, body: "no", dispatches: 1,
		},
		{
			name:      "idempotent request with an error response is retried on another target",
			route:     route.Route{Kind: route.Idempotent, MaxAttempts: 2},
			behaviors: []targetBehavior{respond(500, "no"), respond(200, "yes")},
			status:    200, body: "yes", dispatches: 2,
		},
		{
			name:      "last error response to an idempotent request is forwarded",
			route:     route.Route{Kind: route.Idempotent, MaxAttempts: 2},
			behaviors: []targetBehavior{respond(500, "no")},
			status:    500, body: "no", dispatches: 2,
		},
		{
			name:      "non-idempotent request that may have run is not retried",
			route:     route.Route{Kind: route.NonIdempotent, MaxAttempts: 3},
			behaviors: []targetBehavior{brokenResponse, respond(200, "twice")},
			status:    502, outcome: outcome.Unknown, dispatches: 1,
		},
		{
			name:      "stream that may have run is not retried",
			route:     route.Route{Kind: route.Stream, MaxAttempts: 3},
			behaviors: []targetBehavior{brokenResponse, respond(200, "twice")},
			status:    502, outcome: outcome.Unknown, dispatches: 1,
		},
		{
			name:      "idempotent request is retried",
			route:     route.Route{Kind: route.Idempotent, MaxAttempts: 2},
			behaviors: []targetBehavior{brokenResponse, respond(200, "yes")},
			status:    200, body: "yes", dispatches: 2,
		},
		{
			name:      "rejected non-idempotent request is retried on another target",
			route:     route.Route{Kind: route.NonIdempotent, MaxAttempts: 2},
			behaviors: []targetBehavior{rejected, respond(200, "yes")},
			status:    200, body: "yes", dispatches: 2,
		},
		{
			name:      "request rejected up to the attempt limit did not run",
			route:     route.Route{Kind: route.NonIdempotent},
			behaviors: []targetBehavior{rejected},
			status:    503, outcome: outcome.NotRun, dispatches: 1,
		},
		{
			name:      "unreachable target does not count as an attempt",
			route:     route.Route{Kind: route.NonIdempotent},
			behaviors: []targetBehavior{unreachable, respond(200, "yes")},
			status:    200, body: "yes", dispatches: 2,
		},
		{
			name:  "request is served although most targets are unreachable",
			route: route.Route{Kind: route.NonIdempotent},
			behaviors: []targetBehavior{
				unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, respond(200, "yes"),
			},
			status: 200, body: "yes", dispatches: 8,
		},
		{
			name:  "request that has used up its objective on unreachable targets did not run",
			route: route.Route{Kind: route.NonIdempotent, LatencyObjective: 40 * time.Millisecond},
			behaviors: []targetBehavior{
				slowlyUnreachable, slowlyUnreachable, slowlyUnreachable, slowlyUnreachable, respond(200, "late"),
			},
			status: 503, outcome: outcome.NotRun, dispatches: 4,
		},
		{
			name:      "request may have run after a rejection and a broken exchange",
			route:     route.Route{Kind: route.NonIdempotent, MaxAttempts: 3},
			behaviors: []targetBehavior{rejected, brokenResponse},
			status:    502, outcome: outcome.Unknown, dispatches: 2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.route, c.behaviors...)
			result, sink := f.call(context.Background(), nil)
			status := sink.status
			if result.Refused != nil {
				status = result.Refused.Status
				if result.Refused.Outcome != c.outcome {
					t.Errorf("outcome is %s, want %s", result.Refused.Outcome, c.outcome)
				}
			}
			if status != c.status || sink.body.String() != c.body {
				t.Errorf("got %d %q, want %d %q", status, sink.body.String(), c.status, c.body)
			}
			if got := len(f.client.dispatches); got != c.dispatches {
				t.Errorf("%d dispatches, want %d", got, c.dispatches)
			}
		})
	}
}

func TestUnacceptedRequestsAreNotDispatched(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Call)
		status int
	}{
		{"unknown key", func(c *Call) { c.Key = "other" }, 401},
		{"unknown host", func(c *Call) { c.HostName = "other.example" }, 404},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, route.Route{}, respond(200, "no"))
			result, _ := f.call(context.Background(), c.change)
			if result.Refused == nil || result.Refused.Status != c.status || len(f.client.dispatches) != 0 {
				t.Errorf("got refusal %+v after %d dispatches, want a refusal without a dispatch", result.Refused, len(f.client.dispatches))
			}
		})
	}
}

func TestHostWithoutConfigurationRefusesWithNotRun(t *testing.T) {
	f := newFixture(t, route.Route{}, respond(200, "no"))
	f.relay.options.Table = func() *route.Table { return nil }
	result, _ := f.call(context.Background(), nil)
	if result.Refused == nil || result.Refused.Status != 503 || result.Refused.RetryAfter <= 0 {
		t.Errorf("got refusal %+v, want status 503 with Retry-After", result.Refused)
	}
}

func TestQuotaIsRefundedUnlessRequestMayHaveRun(t *testing.T) {
	cases := []struct {
		name     string
		behavior targetBehavior
		used     float64
	}{
		{"served", respond(200, "yes"), 1},
		{"may have run", brokenResponse, 1},
		{"rejected by the target", rejected, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, route.Route{Kind: route.NonIdempotent}, c.behavior)
			f.call(context.Background(), nil)
			if got := f.quotas.HostUsage(time.Now())["acme"].Total; got != c.used {
				t.Errorf("quota is charged %v, want %v", got, c.used)
			}
		})
	}
}

func TestQuotaRefusalHasRetryAfter(t *testing.T) {
	f := newFixture(t, route.Route{}, respond(200, "yes"))
	for range 2000 {
		result, _ := f.call(context.Background(), nil)
		if result.Refused == nil {
			continue
		}
		if result.Refused.Status != 429 || result.Refused.RetryAfter <= 0 {
			t.Errorf("got refusal %+v, want status 429 with Retry-After", result.Refused)
		}
		return
	}
	t.Error("2000 requests did not exhaust the quota")
}

func TestBrokenStreamIsResumedWithinResponse(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2},
		respondStream("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", errors.New("reset")),
		respondStream("id: 3\ndata: c\n\n", io.EOF))
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || result.Truncated {
		t.Fatalf("got %+v, want a complete stream", result)
	}
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; sink.body.String() != want {
		t.Errorf("the caller received %q, want the events 1 to 3 once each", sink.body.String())
	}
	second := f.client.dispatches[1]
	if !second.Resumes || second.ResumeAfter != 2 || second.Target.Name == f.client.dispatches[0].Target.Name {
		t.Errorf("second dispatch is %+v, want it to resume after event 2 on another target", second)
	}
}

func TestBrokenStreamThatIsNotResumableIsTruncated(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.Stream, MaxAttempts: 2},
		respondStream("id: 1\ndata: a\n\n", errors.New("reset")), respond(200, "again"))
	result, sink := f.call(context.Background(), nil)
	if !result.Truncated || sink.body.String() != "id: 1\ndata: a\n\n" || len(f.client.dispatches) != 1 {
		t.Errorf("got %+v with body %q after %d dispatches, want a truncated response after 1 dispatch", result, sink.body.String(), len(f.client.dispatches))
	}
}

func TestIncompleteEventIsNotForwarded(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.Stream}, respondStream("id: 1\ndata: a\n\nid: 2\ndat", io.EOF))
	result, sink := f.call(context.Background(), nil)
	if !result.Truncated || sink.body.String() != "id: 1\ndata: a\n\n" {
		t.Errorf("got %+v with body %q, want a truncated response with the first event only", result, sink.body.String())
	}
}

func TestStalledTargetIsAbandonedForRetryableRequest(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.Idempotent, MaxAttempts: 2, LatencyObjective: 50 * time.Millisecond},
		hang, respond(200, "yes"))
	start := time.Now()
	_, sink := f.call(context.Background(), nil)
	if sink.status != 200 {
		t.Errorf("status is %d, want 200", sink.status)
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("request took %v, want at most 2 s", elapsed)
	}
}

func TestRequestEndsAtRouteTimeout(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent, Timeout: 100 * time.Millisecond}, hang)
	start := time.Now()
	result, _ := f.call(context.Background(), func(c *Call) { c.Timeout = time.Minute })
	if result.Refused == nil || result.Refused.Status != 504 {
		t.Errorf("got refusal %+v, want status 504", result.Refused)
	}
	if elapsed := time.Since(start); elapsed > 600*time.Millisecond {
		t.Errorf("request took %v, want at most 600 ms", elapsed)
	}
}

func TestTargetReceivesRemainingTime(t *testing.T) {
	f := newFixture(t, route.Route{Timeout: 2 * time.Second}, respond(200, "yes"))
	f.call(context.Background(), func(c *Call) { c.Timeout = time.Second })
	if timeout := f.client.dispatches[0].Timeout; timeout > time.Second || timeout < 500*time.Millisecond {
		t.Errorf("target received a timeout of %v, want between 500 ms and 1 s", timeout)
	}
}

func TestCallerDisconnectEndsExchange(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent}, hang)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	result, _ := f.call(ctx, nil)
	if result.Refused == nil || result.Refused.Reason != outcome.CallerDisconnected {
		t.Errorf("got %+v, want a refusal with reason caller-gone", result)
	}
	if f.relay.InFlight() != 0 {
		t.Error("the request still counts as in flight")
	}
}

func TestSummaryDescribesTheRequest(t *testing.T) {
	f := newFixture(t, route.Route{Name: "r", Kind: route.NonIdempotent}, brokenResponse)
	f.call(context.Background(), nil)
	got := f.observer.last
	if got.Request != "try-1" || got.Route != "r" || got.Team != "acme" || got.TableVersion != 7 ||
		got.Dispatches != 1 || got.Result != schedule.Broken || got.Refusal == nil {
		t.Errorf("got %+v", got)
	}
}
