package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/retrybudget"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

const (
	// silence is longer than the stall timeout of silentRoute.
	silence = 900 * time.Millisecond
	// wholeStream is what a caller of the streams below receives in full.
	wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

func silentRoute(kind route.Kind) route.Route {
	return route.Route{
		Kind: kind, Resumable: kind == route.Stream, MaxAttempts: 2,
		LatencyObjective: 100 * time.Millisecond, EventGapObjective: 25 * time.Millisecond,
	}
}

// pausedReader returns its parts with a pause before each but the first, unless the
// exchange is cancelled.
type pausedReader struct {
	ctx   context.Context
	parts []string
	pause time.Duration
	begun bool
}

func (r *pausedReader) Read(p []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	if r.begun {
		select {
		case <-r.ctx.Done():
			return 0, r.ctx.Err()
		case <-time.After(r.pause):
		}
	}
	r.begun = true
	n := copy(p, r.parts[0])
	r.parts = r.parts[1:]
	return n, nil
}

// streamWithPauses responds with a stream that falls silent before each event but the
// first.
func streamWithPauses(pause time.Duration, events ...string) targetBehavior {
	return func(ctx context.Context, _ Dispatch) (*Response, error) {
		body := &pausedReader{ctx: ctx, parts: events, pause: pause}
		return &Response{Status: 200, Length: -1, Stream: true, Body: io.NopCloser(body)}, nil
	}
}

// respondAfter responds after a pause, unless the exchange is cancelled.
func respondAfter(pause time.Duration, then targetBehavior) targetBehavior {
	return func(ctx context.Context, d Dispatch) (*Response, error) {
		select {
		case <-ctx.Done():
			return nil, &DispatchError{Result: schedule.Broken, Sent: true, Err: ctx.Err()}
		case <-time.After(pause):
			return then(ctx, d)
		}
	}
}

// exhaustBudget replaces the fixture's retry budget by one that allows no retry.
func (f *fixture) exhaustBudget() {
	f.relay.options.RetryBudget = retrybudget.New(time.Now(), retrybudget.Limits{Window: 10 * time.Second})
}

func TestSilentRunIsNotCutWithoutRetryBudget(t *testing.T) {
	cases := []struct {
		name     string
		kind     route.Kind
		behavior targetBehavior
		want     string
	}{
		{"between two events", route.Stream, streamWithPauses(silence, firstEvent, secondEvent), wholeStream},
		{"before the head of a stream", route.Stream, respondAfter(silence, streamWithPauses(0, wholeStream)), wholeStream},
		{"before a plain response", route.Idempotent, respondAfter(silence, respond(200, "yes")), "yes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, silentRoute(c.kind), c.behavior)
			f.exhaustBudget()
			result, sink := f.call(context.Background(), nil)
			if result.Refused != nil || result.Truncated || sink.body.String() != c.want {
				t.Errorf("got %+v with body %q, want the whole response %q", result, sink.body.String(), c.want)
			}
		})
	}
}

func TestSilentRunIsNotCutWhenAnotherTargetRejects(t *testing.T) {
	f := newFixture(t, silentRoute(route.Stream), streamWithPauses(silence, firstEvent, secondEvent), rejected)
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
}

func TestSilentRunIsNotCutWhileNoOtherTargetHasASlot(t *testing.T) {
	f := newFixture(t, silentRoute(route.Stream), streamWithPauses(silence, firstEvent, secondEvent))
	f.keepTargets(1)
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
}

func TestStreamThatBreaksLongAfterItsArrivalIsResumed(t *testing.T) {
	t.Parallel()
	r := silentRoute(route.Stream)
	r.EventGapObjective = 240 * time.Millisecond
	events := strings.SplitAfter(numberedEvents(1, 9), "\n\n")
	f := newFixture(t, r, streamWithPausesThenReset(300*time.Millisecond, events[:8]...), respondStream(events[8], io.EOF))
	result, sink := f.call(context.Background(), nil)
	if result.Truncated || sink.body.String() != numberedEvents(1, 9) {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
}

func numberedEvents(first, last int) string {
	var events strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: x\n\n", i)
	}
	return events.String()
}

// streamWithPausesThenReset is like streamWithPauses, but breaks off after the last event.
func streamWithPausesThenReset(pause time.Duration, events ...string) targetBehavior {
	return func(ctx context.Context, d Dispatch) (*Response, error) {
		response, err := streamWithPauses(pause, events...)(ctx, d)
		response.Body = io.NopCloser(io.MultiReader(response.Body, errorReader{errors.New("reset")}))
		return response, err
	}
}
