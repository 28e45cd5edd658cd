package relay

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

func TestSecondRunIsKeptWhenTheFirstFailsBeforeAResponse(t *testing.T) {
	cases := []struct {
		name  string
		first targetBehavior
	}{
		{"target rejects the request", rejected},
		{"target does not say whether the request ran", failWith(DispatchError{Result: schedule.Failed, Sent: true})},
		{"address belongs to another target", failWith(DispatchError{Result: schedule.Misaddressed, NotRun: true, Sent: true})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, silentRoute(route.Idempotent),
				respondAfter(450*time.Millisecond, c.first), respondAfter(600*time.Millisecond, respond(200, "yes")))
			result, sink := f.call(context.Background(), nil)
			if result.Refused != nil || sink.body.String() != "yes" {
				t.Errorf("got %+v with body %q, want the response of the second run", result, sink.body.String())
			}
			f.awaitIdle(t)
		})
	}
}

func TestSecondRunIsKeptWhenTheFirstRespondsWithAnError(t *testing.T) {
	f := newFixture(t, silentRoute(route.Idempotent),
		respondAfter(450*time.Millisecond, respond(500, "no")), respondAfter(600*time.Millisecond, respond(200, "yes")))
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || sink.body.String() != "yes" {
		t.Errorf("got %+v with body %q, want the response of the second run", result, sink.body.String())
	}
	f.awaitIdle(t)
}

// TestSlotOfReplacedRunIsFreedWhileItsTargetIsProbed guards against a slot that is taken for good: the request runs a third time
// before the slot of the first run is freed.
func TestSlotOfReplacedRunIsFreedWhileItsTargetIsProbed(t *testing.T) {
	t.Parallel()
	r := silentRoute(route.Stream)
	r.MaxAttempts = 3
	f := newFixture(t, r, streamWithPauses(20*time.Second, firstEvent, secondEvent), respondStream("", io.EOF), respondStream(secondEvent, io.EOF))
	f.client.probeTime = 200 * time.Millisecond
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
	f.awaitIdle(t)
}

func TestSecondRunIsKeptWhenTheFirstBreaksRightAfterItsHead(t *testing.T) {
	t.Parallel()
	breaks := func(ctx context.Context, d Dispatch) (*Response, error) {
		return streamWithPausesThenReset(100*time.Millisecond, ": head\n", "")(ctx, d)
	}
	f := newFixture(t, silentRoute(route.Stream),
		respondAfter(450*time.Millisecond, breaks), respondAfter(600*time.Millisecond, streamWithPauses(0, wholeStream)))
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream of the second run", result, sink.body.String())
	}
	f.awaitIdle(t)
}
