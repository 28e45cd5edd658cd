package relay

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

func TestStreamThatBreaksAfterALongSilenceGoesOnAtAFreeTarget(t *testing.T) {
	const silent = 2400 * time.Millisecond
	cases := []struct {
		name          string
		first, second targetBehavior
	}{
		{"between two events", streamWithPausesThenReset(silent, firstEvent, ""), respondStream(secondEvent, io.EOF)},
		{"before the head", respondAfter(silent, brokenResponse), respondStream(wholeStream, io.EOF)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, silentRoute(route.Stream), c.first, c.second)
			f.keepTargets(1)
			time.AfterFunc(silent-200*time.Millisecond, func() { f.keepTargets(fixtureTargets) })
			result, sink := f.call(context.Background(), nil)
			if result.Refused != nil || result.Truncated || sink.body.String() != wholeStream {
				t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
			}
			f.awaitIdle(t)
		})
	}
}

func TestSlowFirstEventIsNotGivenUpForAnEquallySlowSecondRun(t *testing.T) {
	t.Parallel()
	r := silentRoute(route.Stream)
	r.LatencyObjective, r.Timeout = 600*time.Millisecond, 2800*time.Millisecond
	f := newFixture(t, r, respondAfter(2*time.Second, streamWithPauses(0, wholeStream)))
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
	f.awaitIdle(t)
}

func TestSecondRunIsNotGivenUpForAFirstOneThatNeverResponds(t *testing.T) {
	t.Parallel()
	r := silentRoute(route.Stream)
	r.LatencyObjective, r.EventGapObjective, r.Timeout = 300*time.Millisecond, 250*time.Millisecond, 3*time.Second
	f := newFixture(t, r, hang, respondAfter(400*time.Millisecond, streamWithPauses(0, wholeStream)))
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
	f.awaitIdle(t)
}
