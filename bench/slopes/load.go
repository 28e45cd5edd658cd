package slopes

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

const (
	// engineSlots is far above what the loads need.
	engineSlots = 512
	// endless is an answer's length that outlasts every window.
	endless = 1_000_000
)

// loadedSpec describes two hosts and one engine whose speed doesn't depend on
// its load.
func loadedSpec(slots int, decodeGap time.Duration) testbed.Spec {
	spec := baseSpec(2)
	spec.Targets = []testbed.TargetSpec{testbed.EngineSpec("engine", pool, dataCentre, slots,
		"--decode-gap", decodeGap.String(), "--gap-growth=-1", "--prefill-rate=-1",
		"--max-batch", fmt.Sprint(slots))}
	return spec
}

// load is calls in progress through one host.
type load struct {
	client  *http.Client
	caller  *chatclient.Client
	cancel  context.CancelFunc
	calls   sync.WaitGroup
	started atomic.Int64
	failed  atomic.Int64
	tokens  atomic.Int64
}

func newLoad(entry *testbed.Host) *load {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: engineSlots, DisableCompression: true}}
	caller := entry.CallerClient(token)
	caller.HTTP = client
	return &load{client: client, caller: caller}
}

// hold keeps n calls in progress until stop.
func (l *load) hold(ctx context.Context, n int, call chatclient.Call) {
	ctx, l.cancel = context.WithCancel(ctx)
	for range n {
		l.start(ctx, call)
	}
}

// repeat starts calls at the rate until stop; the calls end by themselves.
func (l *load) repeat(ctx context.Context, rate float64, call func(i int) chatclient.Call) {
	calling, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	if rate == 0 {
		return
	}
	begin := time.Now()
	l.calls.Go(func() {
		for i := 0; ; i++ {
			due := time.Duration(float64(i) / rate * float64(time.Second))
			if standin.Sleep(calling, due-time.Since(begin)) != nil {
				return
			}
			l.start(ctx, call(i))
		}
	})
}

func (l *load) start(ctx context.Context, call chatclient.Call) {
	l.started.Add(1)
	call.OnToken = func(int) { l.tokens.Add(1) }
	l.calls.Go(func() {
		answer, err := l.caller.Complete(ctx, call)
		if ctx.Err() == nil && (err != nil || !answer.Whole) {
			l.failed.Add(1)
		}
	})
}

// stop ends the load and waits for its calls.
func (l *load) stop() {
	l.cancel()
	l.calls.Wait()
	l.client.CloseIdleConnections()
}
