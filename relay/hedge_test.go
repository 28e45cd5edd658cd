package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

func TestStalledStreamGoesOnAtASecondTarget(t *testing.T) {
	f := newFixture(t, silentRoute(route.Stream),
		streamWithPauses(time.Minute, firstEvent, secondEvent), respondStream(secondEvent, io.EOF))
	result, sink := f.call(context.Background(), nil)
	if result.Truncated || sink.body.String() != wholeStream {
		t.Fatalf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
	second := f.client.dispatches[1]
	if !second.Resumes || second.ResumeAfter != 1 || second.Target.Name == f.client.dispatches[0].Target.Name {
		t.Errorf("second dispatch is %+v, want it to resume after event 1 on another target", second)
	}
	f.awaitIdle(t)
}

func TestSecondRunIsCancelledWhenTheFirstGoesOn(t *testing.T) {
	cancelled := make(chan struct{})
	second := func(ctx context.Context, _ Dispatch) (*Response, error) {
		<-ctx.Done()
		close(cancelled)
		return nil, &DispatchError{Result: schedule.Broken, Sent: true, Err: ctx.Err()}
	}
	f := newFixture(t, silentRoute(route.Stream), streamWithPauses(450*time.Millisecond, firstEvent, secondEvent), second)
	result, sink := f.call(context.Background(), nil)
	if result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
	awaitClosed(t, cancelled)
	f.awaitIdle(t)
}

func TestSecondRunReplacesTheFirstOnlyOnceItResponds(t *testing.T) {
	late := respondAfter(600*time.Millisecond, respondStream(secondEvent, io.EOF))
	cases := []struct {
		name          string
		gap           time.Duration
		first, second targetBehavior
		replaced      bool
	}{
		{"second run stays silent", 25 * time.Millisecond, streamWithPauses(silence, firstEvent, secondEvent), hang, false},
		{"second run responds late", 275 * time.Millisecond, streamWithPauses(time.Minute, firstEvent, secondEvent), late, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := silentRoute(route.Stream)
			r.EventGapObjective = c.gap
			f := newFixture(t, r, c.first, c.second)
			result, sink := f.call(context.Background(), nil)
			if result.Truncated || sink.body.String() != wholeStream {
				t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
			}
			if replaced := f.observer.last.Target == f.client.dispatches[1].Target.Name; replaced != c.replaced {
				t.Errorf("the second run ended the stream: %v, want %v", replaced, c.replaced)
			}
			f.awaitIdle(t)
		})
	}
}

func TestSecondRunThatStallsMakesRoomForAThird(t *testing.T) {
	r := silentRoute(route.Stream)
	r.MaxAttempts = 3
	f := newFixture(t, r, streamWithPauses(time.Minute, firstEvent, secondEvent), hang, respondStream(secondEvent, io.EOF))
	result, sink := f.call(context.Background(), nil)
	if result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
	f.awaitIdle(t)
}

func TestHedgingKeepsToTheAttemptLimit(t *testing.T) {
	f := newFixture(t, silentRoute(route.Stream), respondAfter(3*silence, streamWithPauses(0, wholeStream)))
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
	if n := len(f.client.dispatches); n > 2 {
		t.Errorf("%d dispatches, want 2 at most", n)
	}
	f.awaitIdle(t)
}

// randomBehavior responds to a stream from where the dispatch resumes, with random pauses,
// and now and then rejects it or breaks off.
func randomBehavior(mu *sync.Mutex, random *rand.Rand, last int) targetBehavior {
	return func(ctx context.Context, d Dispatch) (*Response, error) {
		mu.Lock()
		pause, fate := time.Duration(random.IntN(500))*time.Millisecond, random.IntN(10)
		silentAt := int(d.ResumeAfter) + 1 + random.IntN(last)
		mu.Unlock()
		switch fate {
		case 0:
			return rejected(ctx, d)
		case 1:
			return brokenResponse(ctx, d)
		case 2, 3:
			return respondAfter(pause, respondStream(numberedEvents(int(d.ResumeAfter)+1, last), io.EOF))(ctx, d)
		}
		before := numberedEvents(int(d.ResumeAfter)+1, min(silentAt, last))
		after := numberedEvents(min(silentAt, last)+1, last)
		return streamWithPauses(pause, before, after+": end\n\n")(ctx, d)
	}
}

func TestHedgedStreamsHoldEachEventOnce(t *testing.T) {
	const (
		calls  = 60
		events = 6
	)
	seed := rand.Uint64()
	var mu sync.Mutex
	r := silentRoute(route.Stream)
	r.MaxAttempts = 4
	f := newFixture(t, r, randomBehavior(&mu, rand.New(rand.NewPCG(seed, 0)), events))
	f.relay.options.Observer = discardSummaries{}
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			_, sink := f.call(context.Background(), func(c *Call) { c.ID = ident.Request(fmt.Sprintf("try-%d", i)) })
			got := strings.ReplaceAll(sink.body.String(), ": end\n\n", "")
			if !strings.HasPrefix(numberedEvents(1, events), got) {
				t.Errorf("seed %d: the caller received %q, want a prefix of the events 1 to %d", seed, got, events)
			}
		})
	}
	wg.Wait()
	f.awaitIdle(t)
}

// discardSummaries is an Observer that ignores all summaries.
type discardSummaries struct{}

func (discardSummaries) Finished(Summary) {}

// awaitIdle waits until no request holds a slot.
func (f *fixture) awaitIdle(t *testing.T) {
	t.Helper()
	const timeout = 10 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f.running() == 0 {
			return
		}
	}
	t.Errorf("%d slots are still taken", f.running())
}

func (f *fixture) running() int {
	sum := 0
	for _, l := range f.relay.options.Dispatcher.PoolLoads(time.Now()) {
		sum += l.Running + l.Queued
	}
	return sum
}

func awaitClosed(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("the second run was not cancelled")
	}
}

func TestStalledRunWithoutRetryBudgetAsksForNoSlot(t *testing.T) {
	f := newFixture(t, silentRoute(route.Stream), streamWithPauses(silence, firstEvent, secondEvent))
	f.exhaustBudget()
	f.keepTargets(1)
	f.call(context.Background(), nil)
	for _, step := range f.observer.last.Steps {
		if step.Kind == StepHedgeDenied && step.RetryDenial != DeniedBudget {
			t.Errorf("a second run was denied because of %q, want no request for a slot", step.RetryDenial)
		}
	}
}
