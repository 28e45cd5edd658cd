package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

// measureUnderLoad measures the entry and the owner under the load that begin starts.
func measureUnderLoad(ctx context.Context, o options, spec testbed.Spec, begin func(context.Context, *load)) ([]Figure, error) {
	return withCluster(ctx, o, spec, func(c *testbed.Cluster) ([]Figure, error) {
		entry, owner := entryAndOwner(c)
		l := newLoad(entry)
		begin(ctx, l)
		defer l.stop()
		if err := standin.Sleep(ctx, o.settle); err != nil {
			return nil, err
		}
		return observeLoad(ctx, o, c, l, entry, owner)
	})
}

func observeLoad(ctx context.Context, o options, c *testbed.Cluster, l *load, entry, owner *testbed.Host) ([]Figure, error) {
	counts, err := c.Platform.Counts()
	if err != nil {
		return nil, err
	}
	started, tokens, began := l.started.Load(), l.tokens.Load(), time.Now()
	uses, err := observe(ctx, o.window, entry, owner)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	startedRate := float64(l.started.Load()-started) / seconds
	tokenRate := float64(l.tokens.Load()-tokens) / seconds
	after, err := c.Platform.Counts()
	if err != nil {
		return nil, err
	}
	if failed := l.failed.Load(); failed > 0 {
		return nil, Error.New("%d of %d calls failed", failed, l.started.Load())
	}
	figures := append(uses[0].figures("entry"), uses[1].figures("owner")...)
	return append(
		figures,
		Figure{Name: "calls", Unit: "1/s", Value: startedRate},
		Figure{Name: "tokens", Unit: "1/s", Value: tokenRate},
		Figure{Name: "platform reads", Unit: "1/s", Value: float64(after.Reads-counts.Reads) / seconds},
		Figure{Name: "platform writes", Unit: "1/s", Value: float64(after.Writes-counts.Writes) / seconds},
	), nil
}

// queuedSeries varies the number of queued requests of a pool whose only slot is occupied.
func queuedSeries() series {
	return series{
		name: "queued", varied: "queued requests",
		values: fixedValues(0, 500, 1000, 2000),
		measurePoint: func(ctx context.Context, o options, x float64) ([]Figure, error) {
			return measureUnderLoad(ctx, o, loadedSpec(1, time.Second), func(ctx context.Context, l *load) {
				l.hold(ctx, int(x)+1, chatclient.Call{Model: model, Prompt: "queued", MaxTokens: endlessTokens, Stream: true})
			})
		},
	}
}

// requestsSeries varies the rate of short streamed requests.
func requestsSeries() series {
	const tokens = 8
	return series{
		name: "requests", varied: fmt.Sprintf("requests a second of %d tokens", tokens),
		values: fixedValues(0, 50, 100, 200),
		measurePoint: func(ctx context.Context, o options, x float64) ([]Figure, error) {
			return measureUnderLoad(ctx, o, loadedSpec(engineSlots, 5*time.Millisecond), func(ctx context.Context, l *load) {
				l.repeat(ctx, x, func(i int) chatclient.Call {
					return chatclient.Call{Model: model, Prompt: fmt.Sprint("request ", i), MaxTokens: tokens, Stream: true}
				})
			})
		},
	}
}

// streamsSeries varies the number of concurrent slow streams.
func streamsSeries() series {
	const gap = 400 * time.Millisecond
	return series{
		name: "streams", varied: fmt.Sprintf("streams with a token each %v", gap),
		values: fixedValues(0, 50, 100, 200),
		measurePoint: func(ctx context.Context, o options, x float64) ([]Figure, error) {
			return measureHeldStreams(ctx, o, int(x), gap)
		},
	}
}

// tokensSeries varies the token rate of a fixed number of streams.
func tokensSeries() series {
	const streams = 100
	return series{
		name: "tokens", varied: fmt.Sprintf("tokens a second over %d streams", streams),
		values: fixedValues(250, 500, 1000, 2500),
		measurePoint: func(ctx context.Context, o options, x float64) ([]Figure, error) {
			gap := time.Duration(streams / x * float64(time.Second))
			return measureHeldStreams(ctx, o, streams, gap)
		},
	}
}

func measureHeldStreams(ctx context.Context, o options, streams int, gap time.Duration) ([]Figure, error) {
	return measureUnderLoad(ctx, o, loadedSpec(engineSlots, gap), func(ctx context.Context, l *load) {
		l.hold(ctx, streams, chatclient.Call{Model: model, Prompt: "stream", MaxTokens: endlessTokens, Stream: true})
	})
}

// claimsSeries varies the rate of non-idempotent requests, which need a claim each.
func claimsSeries() series {
	const tokens = 2
	return series{
		name: "claims", varied: "non-idempotent requests a second",
		values: fixedValues(0, 20, 50, 100),
		measurePoint: func(ctx context.Context, o options, x float64) ([]Figure, error) {
			return measureUnderLoad(ctx, o, loadedSpec(engineSlots, 5*time.Millisecond), func(ctx context.Context, l *load) {
				l.repeat(ctx, x, func(i int) chatclient.Call {
					return chatclient.Call{
						Model: model, Prompt: fmt.Sprint("claim ", i), MaxTokens: tokens,
						Key: fmt.Sprint("key-", i), NonIdempotent: true,
					}
				})
			})
		},
	}
}
