package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// versionedTargets returns a snapshot with one target of each version, in order.
func versionedTargets(versions ...string) *route.TargetSnapshot {
	snapshot := targetSnapshot(len(versions))
	for i, version := range versions {
		name := ident.Target(fmt.Sprintf("t%d", i+1))
		t := snapshot.Targets[name]
		t.Version = version
		snapshot.Targets[name] = t
	}
	return snapshot
}

func (f *fixture) setTargets(snapshot *route.TargetSnapshot) {
	f.relay.options.Dispatcher.Configure(time.Now(), f.pools, snapshot)
}

// versionsUsed returns the versions of the targets that got the request, in order.
func (f *fixture) versionsUsed() []string {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	var versions []string
	for i := range f.client.dispatches {
		versions = append(versions, f.client.dispatches[i].Target.Version)
	}
	return versions
}

func TestBrokenStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	mixed := 0
	const streams = 40
	for range streams {
		f := newFixture(t, route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2},
			respondStream(firstEvent, errors.New("reset")), respondStream(secondEvent, io.EOF))
		f.setTargets(versionedTargets("v1", "v1", "v2", "v2", "v1.1", "v1.1", "", ""))
		result, sink := f.call(context.Background(), nil)
		if result.Truncated || sink.body.String() != wholeStream {
			t.Fatalf("got %+v with body %q, want the whole stream", result, sink.body.String())
		}
		if used := f.versionsUsed(); used[0] != used[1] {
			mixed++
		}
	}
	if mixed > 0 {
		t.Errorf("%d of %d streams went on at another version", mixed, streams)
	}
}

func TestStreamWithoutTargetOfItsVersionDoesNotWaitForItsDeadline(t *testing.T) {
	cases := map[string]*route.TargetSnapshot{
		"its target failed":       versionedTargets("v1", "v2", "v2"),
		"its target left":         versionedTargets("v2", "v2", "v2"),
		"no target of any kind":   versionedTargets(),
		"its last target drains":  drainingTarget(versionedTargets("v1", "v1", "v2"), "t2"),
		"another has a like name": versionedTargets("v1", "v1.0", ""),
	}
	for name, left := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, route.Route{
				Kind: route.Stream, Resumable: true, MaxAttempts: 3, Timeout: time.Minute, LatencyObjective: 10 * time.Second,
			}, nil, respondStream(secondEvent, io.EOF))
			f.setTargets(versionedTargets("v1"))
			f.client.behaviors[0] = func(ctx context.Context, d Dispatch) (*Response, error) {
				f.setTargets(left)
				return respondStream(firstEvent, errors.New("reset"))(ctx, d)
			}
			start := time.Now()
			result, sink := f.call(context.Background(), nil)
			if !result.Truncated || sink.body.String() != firstEvent {
				t.Errorf("got %+v with body %q, want a stream that ends after its first event", result, sink.body.String())
			}
			if used := f.versionsUsed(); len(used) != 1 {
				t.Errorf("targets of the versions %q got the request, want one", used)
			}
			if took := time.Since(start); took > 10*time.Second {
				t.Errorf("the stream ended after %s", took)
			}
		})
	}
}

func drainingTarget(snapshot *route.TargetSnapshot, name ident.Target) *route.TargetSnapshot {
	t := snapshot.Targets[name]
	t.Draining = true
	snapshot.Targets[name] = t
	return snapshot
}

func TestSecondRunOfSilentStreamIsOfItsVersion(t *testing.T) {
	f := newFixture(t, silentRoute(route.Stream),
		streamWithPauses(2*silence, firstEvent, secondEvent), respondStream(secondEvent, io.EOF))
	f.client.behaviors[0] = func(ctx context.Context, d Dispatch) (*Response, error) {
		if d.Target.Version != "v1" {
			t.Errorf("the stream began at version %q", d.Target.Version)
		}
		f.setTargets(versionedTargets("v1", "v2", "v2"))
		return streamWithPauses(2*silence, firstEvent, secondEvent)(ctx, d)
	}
	f.setTargets(versionedTargets("v1"))
	result, sink := f.call(context.Background(), nil)
	if result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
	if used := f.versionsUsed(); len(used) != 1 {
		t.Errorf("targets of the versions %q got the request, want one", used)
	}
}

func TestStreamWithoutEventsMayBeginAtAnyVersion(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2},
		respondStream("id: 1\nda", errors.New("reset")), respondStream(wholeStream, io.EOF))
	f.setTargets(versionedTargets("v1", "v2"))
	result, sink := f.call(context.Background(), nil)
	if result.Truncated || sink.body.String() != wholeStream {
		t.Errorf("got %+v with body %q, want the whole stream", result, sink.body.String())
	}
}

func TestStreamOfTargetThatMayHaveStartedAgainIsNotResumed(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2},
		nil, respondStream(secondEvent, io.EOF))
	only := versionedTargets("v1")
	f.setTargets(only)
	f.relay.options.Dispatcher.recordCrash(only.Targets["t1"])
	f.client.behaviors[0] = func(ctx context.Context, d Dispatch) (*Response, error) {
		f.setTargets(versionedTargets("v1", "v1"))
		return respondStream(firstEvent, errors.New("reset"))(ctx, d)
	}
	result, sink := f.call(context.Background(), nil)
	if !result.Truncated || sink.body.String() != firstEvent {
		t.Errorf("got %+v with body %q, want a stream that ends after its first event", result, sink.body.String())
	}
	if _, known := f.relay.options.Streams.Find(time.Now(), "try-1", []route.WeightedPool{{Pool: "p", Weight: 1}}); known {
		t.Error("the version that began the stream is taken for known")
	}
}
