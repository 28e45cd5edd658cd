package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// breakTime is how long a target breaks off streams, and breakInterval the time from its
	// end to the next.
	breakTime     = 300 * time.Millisecond
	breakInterval = 300 * time.Millisecond
	// breakRatio is the share of the events before which a stream breaks off meanwhile.
	breakRatio = 0.4
)

// breakStreams lets targets of the model break off streams after their first event, one
// target after another, until ctx ends.
func (s *system) breakStreams(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	for ctx.Err() == nil {
		t := pick(random, s.targets)
		if t.service == platformtest.ModelService {
			end := t.breakSpans.start()
			t.breaksStreams.Store(true)
			periodic.Sleep(ctx, breakTime)
			t.breaksStreams.Store(false)
			end()
			periodic.Sleep(ctx, breakInterval)
		}
	}
}

// breakStream breaks off a stream before an event, unless it is the first, with breakRatio.
func (t *target) breakStream(event int) {
	if event > 0 && t.breaksStreams.Load() && rand.Float64() < breakRatio {
		panic(http.ErrAbortHandler)
	}
}
