package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

// respondWith responds with a status and a body of events, or of another type.
func respondWith(status int, isStream bool, body string, end error) targetBehavior {
	return func(context.Context, Dispatch) (*Response, error) {
		reader := io.MultiReader(strings.NewReader(body), errorReader{end})
		return &Response{Status: status, Header: http.Header{}, Length: -1, Stream: isStream, Body: io.NopCloser(reader)}, nil
	}
}

// badContinuations returns responses that don't go on after the first event of a stream.
func badContinuations() map[string]targetBehavior {
	const half = "id: 2\nda"
	bad := map[string]targetBehavior{
		"no events":                 respondWith(200, true, "", io.EOF),
		"comment only":              respondWith(200, true, comment, io.EOF),
		"half an event":             respondWith(200, true, half, io.EOF),
		"event without an ID":       respondWith(200, true, "data: b\n\n", io.EOF),
		"begins again":              respondWith(200, true, wholeStream, io.EOF),
		"same event again":          respondWith(200, true, firstEvent, io.EOF),
		"steps back after an event": respondWith(200, true, "id: 0\ndata: b\n\n", io.EOF),
		"no stream":                 respondWith(200, false, "page", io.EOF),
		"status 206 with the rest":  respondWith(206, true, secondEvent, io.EOF),
		"no content":                respondWith(204, false, "", io.EOF),
	}
	for _, status := range []int{302, 404, 500} {
		name := http.StatusText(status)
		bad[name+" with an event"] = respondWith(status, true, secondEvent, io.EOF)
		bad[name+" with an event without an ID"] = respondWith(status, true, "data: error\n\n", io.EOF)
		bad[name+" with a comment"] = respondWith(status, true, comment, io.EOF)
		bad[name+" with half an event"] = respondWith(status, true, half, io.EOF)
		bad[name+" without a body"] = respondWith(status, true, "", io.EOF)
		bad[name+" of another type"] = respondWith(status, false, "error", io.EOF)
	}
	return bad
}

// TestErrorIsNoContinuationOfStream guards against the bytes of an error in a stream that had begun, and against its
// end as if it were complete.
func TestErrorIsNoContinuationOfStream(t *testing.T) {
	breaks := respondStream(firstEvent, errors.New("reset"))
	for name, bad := range badContinuations() {
		for position, behaviors := range map[string][]targetBehavior{
			"second response": {breaks, bad},
			"third response":  {breaks, respondStream("", errors.New("reset")), bad},
			"second run":      {streamWithPauses(20*time.Second, firstEvent, secondEvent), bad},
		} {
			t.Run(name+", "+position, func(t *testing.T) {
				t.Parallel()
				r := silentRoute(route.Stream)
				r.MaxAttempts, r.Timeout = len(behaviors), time.Second
				f := newFixture(t, r, behaviors...)
				result, sink := f.call(context.Background(), nil)
				if !result.Truncated || sink.body.String() != firstEvent {
					t.Errorf("got %+v with body %q, want a cut stream that ends after its first event", result, sink.body.String())
				}
			})
		}
	}
}

func TestStreamGoesOnAfterTargetThatCannotResumeIt(t *testing.T) {
	for name, bad := range badContinuations() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := silentRoute(route.Stream)
			r.MaxAttempts = 3
			f := newFixture(t, r, respondStream(firstEvent, errors.New("reset")), bad, respondStream(comment+secondEvent+comment, io.EOF))
			result, sink := f.call(context.Background(), nil)
			if result.Truncated || strings.ReplaceAll(sink.body.String(), comment, "") != wholeStream {
				t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
			}
		})
	}
}

// TestStreamThatBeganWithAnErrorIsNotResumed guards against a stream that follows an error within one response.
func TestStreamThatBeganWithAnErrorIsNotResumed(t *testing.T) {
	f := newFixture(t, silentRoute(route.Stream), respondWith(500, true, firstEvent, errors.New("reset")), respondWith(500, true, secondEvent, io.EOF))
	result, sink := f.call(context.Background(), nil)
	if !result.Truncated || sink.body.String() != firstEvent {
		t.Errorf("got %+v with body %q, want the error's first event only", result, sink.body.String())
	}
}

// takeUpAfterFirstEvent makes a call take up a stream that began at a target of the fixture.
func (f *fixture) takeUpAfterFirstEvent(c *Call) {
	f.relay.options.Streams.RecordBegin(time.Now(), "try-0", targetSnapshot(1).Targets["t1"], false)
	c.Resumes, c.ResumeAfter, c.FirstAttempt = true, 1, "try-0"
}

// TestStreamThatBeginsAgainIsNoContinuationForItsCaller guards against events that a caller has got before.
func TestStreamThatBeginsAgainIsNoContinuationForItsCaller(t *testing.T) {
	for name, bad := range map[string]string{"begins again": wholeStream, "same event": firstEvent, "no ID": "data: b\n\n"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, silentRoute(route.Stream), respondStream(bad, io.EOF))
			result, sink := f.call(context.Background(), f.takeUpAfterFirstEvent)
			if result.Refused == nil || result.Refused.Status != http.StatusBadGateway || sink.body.Len() > 0 {
				t.Errorf("got %+v with body %q, want status 502", result, sink.body.String())
			}
			f = newFixture(t, silentRoute(route.Stream), respondStream(bad, io.EOF), respondStream(secondEvent, io.EOF))
			result, sink = f.call(context.Background(), f.takeUpAfterFirstEvent)
			if result.Refused != nil || result.Truncated || sink.body.String() != secondEvent {
				t.Errorf("got %+v with body %q, want the remainder from another target", result, sink.body.String())
			}
		})
	}
}

func TestErrorForCallerThatTakesStreamUpIsForwarded(t *testing.T) {
	f := newFixture(t, silentRoute(route.Stream), respondWith(404, true, "data: gone\n\n", io.EOF))
	result, sink := f.call(context.Background(), f.takeUpAfterFirstEvent)
	if result.Refused != nil || result.Truncated || sink.status != 404 || sink.body.String() != "data: gone\n\n" {
		t.Errorf("got %+v with status %d and body %q, want the target's error", result, sink.status, sink.body.String())
	}
}
