package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/bytebudget"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// errUnread is what a stream breaks off with whose target was not read for too long.
var errUnread = errors.New("the response stayed unread")

// impatientBody is a stream whose target aborts it if an event stays unread for longer than patience.
type impatientBody struct {
	events   []string
	patience time.Duration
	offered  time.Time
}

func (b *impatientBody) Read(p []byte) (int, error) {
	now := time.Now()
	if !b.offered.IsZero() && now.Sub(b.offered) > b.patience {
		return 0, errUnread
	}
	b.offered = now
	if len(b.events) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.events[0])
	b.events = b.events[1:]
	return n, nil
}

func (b *impatientBody) Close() error { return nil }

// longBody is a plain response. Its target aborts it if it stays unread for longer than patience.
type longBody struct {
	impatientBody
	size int
	read atomic.Int64
}

func (b *longBody) Read(p []byte) (int, error) {
	now := time.Now()
	if !b.offered.IsZero() && now.Sub(b.offered) > b.patience {
		return 0, errUnread
	}
	b.offered = now
	n := min(len(p), b.size-int(b.read.Load()))
	b.read.Add(int64(n))
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func respondLong(body *longBody) targetBehavior {
	return func(context.Context, Dispatch) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, Length: int64(body.size), Body: body}, nil
	}
}

// TestLongResponseToASlowCaller guards against a plain response that the target aborts because its
// caller is slow, which would count as the target's failure, against a buffer without a bound, and
// against ending the response of a caller that reads again.
func TestLongResponseToASlowCaller(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		size     int
		patience time.Duration
		budget   int64
		result   schedule.Result
	}{
		{"rest fits", maxBufferedBytes + 1000, 900 * time.Millisecond, 1 << 20, schedule.Served},
		{"rest does not fit", 4 << 20, time.Hour, 1 << 20, schedule.Served},
		{"budget is used up", 1 << 20, time.Hour, 0, schedule.Served},
		{"target gives up", 4 << 20, 900 * time.Millisecond, 1 << 20, schedule.Abandoned},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			body := &longBody{impatientBody: impatientBody{patience: c.patience}, size: c.size}
			f := newFixture(t, silentRoute(route.Idempotent), respondLong(body))
			f.relay.options.Budget = bytebudget.New(c.budget, 0)
			f.wrapSink = func(s Sink) Sink { return &pausingSink{Sink: s, pause: 2 * time.Second} }
			read := make(chan int64, 1)
			time.AfterFunc(1500*time.Millisecond, func() { read <- body.read.Load() })
			result, sink := f.call(context.Background(), nil)
			if served := c.result == schedule.Served; result.Truncated == served || served && sink.body.Len() != c.size {
				t.Errorf("got %+v with %d bytes of %d", result, sink.body.Len(), c.size)
			}
			if got := f.observer.last.Result; got != c.result || len(f.client.dispatches) != 1 {
				t.Errorf("got %v after %d dispatches, want %v after one", got, len(f.client.dispatches), c.result)
			}
			if n := <-read; n > maxReadAheadBytes+copyBufferBytes+readAheadStep {
				t.Errorf("%d bytes read for a caller that does not read, want at most %d ahead", n, maxReadAheadBytes)
			}
			if used := f.relay.options.Budget.Used(); used != 0 {
				t.Errorf("%d bytes are still reserved", used)
			}
			f.awaitIdle(t)
		})
	}
}

func respondBody(body io.ReadCloser) targetBehavior {
	return func(context.Context, Dispatch) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, Length: -1, Stream: true, Body: body}, nil
	}
}

// TestTargetIsReadWhileItsCallerReadsNothing guards against a target that aborts a response
// because the caller is slow, which would count as a failure of the target.
func TestTargetIsReadWhileItsCallerReadsNothing(t *testing.T) {
	t.Parallel()
	f := newFixture(t, silentRoute(route.Stream),
		respondBody(&impatientBody{events: []string{firstEvent, secondEvent}, patience: 900 * time.Millisecond}))
	f.wrapSink = func(s Sink) Sink { return &pausingSink{Sink: s, pause: 2 * time.Second} }
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
	if n := len(f.client.dispatches); n != 1 {
		t.Errorf("%d dispatches, want 1", n)
	}
	f.awaitIdle(t)
}

// endlessBody is a stream of events that ends only when it is closed.
type endlessBody struct {
	event  string
	bytes  atomic.Int64
	closed atomic.Bool
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	n := copy(p, b.event)
	b.bytes.Add(int64(n))
	return n, nil
}

func (b *endlessBody) Close() error {
	b.closed.Store(true)
	return nil
}

// TestCallerThatReadsTooSlowlyEndsOnlyItsOwnRequest guards against a buffer without a bound, and
// against a slow caller that keeps a slot of a target or counts as a failure of the target.
func TestCallerThatReadsTooSlowlyEndsOnlyItsOwnRequest(t *testing.T) {
	t.Parallel()
	body := &endlessBody{event: "id: 1\ndata: " + strings.Repeat("x", 1000) + "\n\n"}
	f := newFixture(t, silentRoute(route.Stream), respondBody(body))
	f.relay.options.Budget = bytebudget.New(1<<20, 0)
	f.wrapSink = func(s Sink) Sink { return &pausingSink{Sink: s, pause: 2 * time.Second} }
	closedEarly := make(chan bool, 1)
	time.AfterFunc(1500*time.Millisecond, func() { closedEarly <- body.closed.Load() })
	result, _ := f.call(context.Background(), nil)
	if !result.Truncated || len(f.client.dispatches) != 1 {
		t.Errorf("got %+v after %d dispatches, want one truncated response", result, len(f.client.dispatches))
	}
	if !<-closedEarly {
		t.Error("the target's response was still open while the caller did not read")
	}
	if read := body.bytes.Load(); read > maxReadAheadBytes+2*maxBatchBytes+readAheadStep {
		t.Errorf("%d bytes read for a caller that does not read, want at most %d ahead", read, maxReadAheadBytes)
	}
	if used := f.relay.options.Budget.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
	f.awaitIdle(t)
}
