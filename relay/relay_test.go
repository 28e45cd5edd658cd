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
	rejected    = fails(DispatchError{Result: schedule.Rejected, NotRun: true, Sent: true})
	broken502   = fails(DispatchError{Result: schedule.Broken, Sent: true})
	unreachable = fails(DispatchError{Result: schedule.Unreachable, NotRun: true})
)

func TestAnswersAndFailures(t *testing.T) {
	cases := []struct {
		name       string
		route      route.Route
		reactions  []reaction
		status     int
		body       string
		outcome    outcome.Outcome
		dispatches int
	}{
		{
			name:      "whole answer",
			reactions: []reaction{answers(200, "yes")},
			status:    200, body: "yes", dispatches: 1,
		},
		{
			name:      "error of a target is passed on as it is",
			route:     route.Route{Kind: route.NonIdempotent},
			reactions: []reaction{answers(500, "no")},
			status:    500, body: "no", dispatches: 1,
		},
		{
			name:      "error to an idempotent request is tried elsewhere",
			route:     route.Route{Kind: route.Idempotent, MaxAttempts: 2},
			reactions: []reaction{answers(500, "no"), answers(200, "yes")},
			status:    200, body: "yes", dispatches: 2,
		},
		{
			name:      "the last error of an idempotent request is passed on",
			route:     route.Route{Kind: route.Idempotent, MaxAttempts: 2},
			reactions: []reaction{answers(500, "no")},
			status:    500, body: "no", dispatches: 2,
		},
		{
			name:      "non-idempotent request that may have run is not repeated",
			route:     route.Route{Kind: route.NonIdempotent, MaxAttempts: 3},
			reactions: []reaction{broken502, answers(200, "twice")},
			status:    502, outcome: outcome.Unknown, dispatches: 1,
		},
		{
			name:      "stream that may have run is not repeated",
			route:     route.Route{Kind: route.Stream, MaxAttempts: 3},
			reactions: []reaction{broken502, answers(200, "twice")},
			status:    502, outcome: outcome.Unknown, dispatches: 1,
		},
		{
			name:      "idempotent request is repeated",
			route:     route.Route{Kind: route.Idempotent, MaxAttempts: 2},
			reactions: []reaction{broken502, answers(200, "yes")},
			status:    200, body: "yes", dispatches: 2,
		},
		{
			name:      "refused request is sent elsewhere, although it is non-idempotent",
			route:     route.Route{Kind: route.NonIdempotent, MaxAttempts: 2},
			reactions: []reaction{rejected, answers(200, "yes")},
			status:    200, body: "yes", dispatches: 2,
		},
		{
			name:      "refused request within the route's limit did not run",
			route:     route.Route{Kind: route.NonIdempotent},
			reactions: []reaction{rejected},
			status:    503, outcome: outcome.NotRun, dispatches: 1,
		},
		{
			name:      "target that cannot be reached does not count",
			route:     route.Route{Kind: route.NonIdempotent},
			reactions: []reaction{unreachable, answers(200, "yes")},
			status:    200, body: "yes", dispatches: 2,
		},
		{
			name:      "after a refusal and a break it may have run",
			route:     route.Route{Kind: route.NonIdempotent, MaxAttempts: 3},
			reactions: []reaction{rejected, broken502},
			status:    502, outcome: outcome.Unknown, dispatches: 2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, c.route, c.reactions...)
			end, sink := s.call(context.Background(), nil)
			status := sink.status
			if end.Refused != nil {
				status = end.Refused.Status
				if end.Refused.Outcome != c.outcome {
					t.Errorf("outcome is %s, want %s", end.Refused.Outcome, c.outcome)
				}
			}
			if status != c.status || sink.body.String() != c.body {
				t.Errorf("got %d %q, want %d %q", status, sink.body.String(), c.status, c.body)
			}
			if got := len(s.script.dispatches); got != c.dispatches {
				t.Errorf("%d dispatches, want %d", got, c.dispatches)
			}
		})
	}
}

func TestRequestsThatAreNotAccepted(t *testing.T) {
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
			s := newSystem(t, route.Route{}, answers(200, "no"))
			end, _ := s.call(context.Background(), c.change)
			if end.Refused == nil || end.Refused.Status != c.status || len(s.script.dispatches) != 0 {
				t.Errorf("got %+v after %d dispatches", end.Refused, len(s.script.dispatches))
			}
		})
	}
}

func TestHostWithoutConfigurationPromisesNothingRan(t *testing.T) {
	s := newSystem(t, route.Route{}, answers(200, "no"))
	s.relay.options.Table = func() *route.Table { return nil }
	end, _ := s.call(context.Background(), nil)
	if end.Refused == nil || end.Refused.Status != 503 || end.Refused.RetryAfter <= 0 {
		t.Errorf("got %+v", end.Refused)
	}
}

func TestQuotaIsGivenBackUnlessTheRequestMayHaveRun(t *testing.T) {
	cases := []struct {
		name     string
		reaction reaction
		used     float64
	}{
		{"served", answers(200, "yes"), 1},
		{"may have run", broken502, 1},
		{"refused by the target", rejected, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, route.Route{Kind: route.NonIdempotent}, c.reaction)
			s.call(context.Background(), nil)
			if got := s.quotas.HostUsage(time.Now())["acme"].Total; got != c.used {
				t.Errorf("%v is charged, want %v", got, c.used)
			}
		})
	}
}

func TestQuotaRefusalTellsWhenToComeBack(t *testing.T) {
	s := newSystem(t, route.Route{}, answers(200, "yes"))
	for range 2000 {
		end, _ := s.call(context.Background(), nil)
		if end.Refused == nil {
			continue
		}
		if end.Refused.Status != 429 || end.Refused.RetryAfter <= 0 {
			t.Errorf("got %+v", end.Refused)
		}
		return
	}
	t.Error("the quota was never used up")
}

func TestBrokenStreamIsResumedWithinTheAnswer(t *testing.T) {
	s := newSystem(t, route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2},
		streams("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", errors.New("reset")),
		streams("id: 3\ndata: c\n\n", io.EOF))
	end, sink := s.call(context.Background(), nil)
	if end.Refused != nil || end.Truncated {
		t.Fatalf("the stream ended with %+v", end)
	}
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; sink.body.String() != want {
		t.Errorf("the caller got %q", sink.body.String())
	}
	second := s.script.dispatches[1]
	if !second.Resumes || second.ResumeAfter != 2 || second.Target.Name == s.script.dispatches[0].Target.Name {
		t.Errorf("the second dispatch is %+v", second)
	}
}

func TestBrokenStreamThatCannotBeResumedIsBrokenOff(t *testing.T) {
	s := newSystem(t, route.Route{Kind: route.Stream, MaxAttempts: 2},
		streams("id: 1\ndata: a\n\n", errors.New("reset")), answers(200, "again"))
	end, sink := s.call(context.Background(), nil)
	if !end.Truncated || sink.body.String() != "id: 1\ndata: a\n\n" || len(s.script.dispatches) != 1 {
		t.Errorf("got %+v with %q after %d dispatches", end, sink.body.String(), len(s.script.dispatches))
	}
}

func TestEventThatIsCutIsNotPassedOn(t *testing.T) {
	s := newSystem(t, route.Route{Kind: route.Stream}, streams("id: 1\ndata: a\n\nid: 2\ndat", io.EOF))
	end, sink := s.call(context.Background(), nil)
	if !end.Truncated || sink.body.String() != "id: 1\ndata: a\n\n" {
		t.Errorf("got %+v with %q", end, sink.body.String())
	}
}

func TestStalledTargetIsGivenUpWhereTheRequestMayBeRepeated(t *testing.T) {
	s := newSystem(t, route.Route{Kind: route.Idempotent, MaxAttempts: 2, LatencyObjective: 50 * time.Millisecond},
		hangs, answers(200, "yes"))
	begun := time.Now()
	_, sink := s.call(context.Background(), nil)
	if sink.status != 200 {
		t.Errorf("status is %d", sink.status)
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("it took %v", took)
	}
}

func TestFinalAnswerComesAtTheRoutesTimeout(t *testing.T) {
	s := newSystem(t, route.Route{Kind: route.NonIdempotent, Timeout: 100 * time.Millisecond}, hangs)
	begun := time.Now()
	end, _ := s.call(context.Background(), func(c *Call) { c.Timeout = time.Minute })
	if end.Refused == nil || end.Refused.Status != 504 {
		t.Errorf("got %+v", end.Refused)
	}
	if took := time.Since(begun); took > 600*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

func TestTargetIsToldTheTimeThatIsLeft(t *testing.T) {
	s := newSystem(t, route.Route{Timeout: 2 * time.Second}, answers(200, "yes"))
	s.call(context.Background(), func(c *Call) { c.Timeout = time.Second })
	if left := s.script.dispatches[0].Timeout; left > time.Second || left < 500*time.Millisecond {
		t.Errorf("the target has %v", left)
	}
}

func TestCallerThatLeavesEndsTheExchange(t *testing.T) {
	s := newSystem(t, route.Route{Kind: route.NonIdempotent}, hangs)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	end, _ := s.call(ctx, nil)
	if end.Refused == nil || end.Refused.Reason != outcome.CallerDisconnected {
		t.Errorf("got %+v", end)
	}
	if s.relay.InFlight() != 0 {
		t.Error("the request is still in flight")
	}
}

func TestSummaryTellsWhatDecided(t *testing.T) {
	s := newSystem(t, route.Route{Name: "r", Kind: route.NonIdempotent}, broken502)
	s.call(context.Background(), nil)
	got := s.observed.last
	if got.Request != "try-1" || got.Route != "r" || got.Team != "acme" || got.TableVersion != 7 ||
		got.Dispatches != 1 || got.Result != schedule.Broken || got.Refusal == nil {
		t.Errorf("got %+v", got)
	}
}
