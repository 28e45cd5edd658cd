package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

// pausingSink is a Sink whose caller takes the first part of the body only after a pause.
type pausingSink struct {
	Sink
	pause time.Duration
}

func (s *pausingSink) WriteHead(status int, header http.Header, length int64, deadline time.Time) error {
	return s.Sink.WriteHead(status, header, length, deadline)
}

func (s *pausingSink) Write(p []byte) error {
	time.Sleep(s.pause)
	s.pause = 0
	return s.Sink.Write(p)
}

func TestPauseOfACallerIsNotTakenForSilenceOfItsTarget(t *testing.T) {
	t.Parallel()
	r := silentRoute(route.Stream)
	r.EventGapObjective = 275 * time.Millisecond
	f := newFixture(t, r, streamWithPauses(10*time.Millisecond, firstEvent, secondEvent),
		respondAfter(600*time.Millisecond, brokenResponse))
	f.wrapSink = func(s Sink) Sink { return &pausingSink{Sink: s, pause: 2 * time.Second} }
	result, sink := f.call(context.Background(), nil)
	if result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
	if n := len(f.client.dispatches); n != 1 {
		t.Errorf("%d dispatches, want 1", n)
	}
	f.awaitIdle(t)
}
