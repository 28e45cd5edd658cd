package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

const comment = ": alive\n\n"

// A comment must not make a stream lose its position.
func TestStreamWithCommentsIsResumed(t *testing.T) {
	f := newFixture(t, silentRoute(route.Stream),
		respondStream(firstEvent+comment, errors.New("reset")), respondStream(secondEvent, io.EOF))
	result, sink := f.call(context.Background(), nil)
	events := strings.ReplaceAll(sink.body.String(), comment, "")
	if result.Truncated || events != wholeStream {
		t.Errorf("got %+v with events %q, want the whole stream", result, events)
	}
}

// TestCommentsAreNoProgress guards against a target that keeps a stream by comments alone.
func TestCommentsAreNoProgress(t *testing.T) {
	comments := slices.Repeat([]string{comment}, 500)
	for name, c := range map[string]struct {
		parts []string
		rest  string
	}{
		"before the first event": {comments, wholeStream},
		"after an event":         {append([]string{firstEvent}, comments...), secondEvent},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, silentRoute(route.Stream),
				streamWithPauses(20*time.Millisecond, c.parts...), respondStream(c.rest, io.EOF))
			result, sink := f.call(context.Background(), nil)
			if result.Refused != nil || result.Truncated || sink.body.String() != wholeStream {
				t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
			}
		})
	}
}

func TestCommentsOfCompleteStreamAreForwarded(t *testing.T) {
	for _, stream := range []string{comment, comment + wholeStream, firstEvent + comment + secondEvent + comment} {
		f := newFixture(t, silentRoute(route.Stream), respondStream(stream, io.EOF))
		result, sink := f.call(context.Background(), nil)
		if result.Refused != nil || result.Truncated || sink.body.String() != stream {
			t.Errorf("got %+v with body %q, want %q", result, sink.body.String(), stream)
		}
	}
}
