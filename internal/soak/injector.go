package soak

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

// injector injects faults into the system.
type injector struct {
	system *system
	seed   uint64

	mu     sync.Mutex
	counts map[faultKind]int
	errs   []error
}

// run injects random faults one after another until ctx ends. It may be called
// concurrently with different streams, each with its own sequence of faults.
func (i *injector) run(ctx context.Context, stream int, all []fault) {
	random := rand.New(rand.NewPCG(i.seed, 1<<32+uint64(stream)))
	for ctx.Err() == nil {
		f := pick(random, all)
		err := f.inject(ctx, i.system, random)
		i.record(f.kind, err)
		periodic.Sleep(ctx, minFaultDuration)
	}
}

func (i *injector) record(kind faultKind, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[kind]++
	if err != nil {
		i.errs = append(i.errs, err)
	}
}

// watchExits records host processes that exit unexpectedly, until ctx ends.
func (i *injector) watchExits(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range i.system.hosts {
			h.mu.Lock()
			if h.incarnation > 0 && !h.exitExpected && !h.Running() {
				h.exitExpected = true
				h.unexpectedExits = append(h.unexpectedExits, h.incarnation)
			}
			h.mu.Unlock()
		}
		periodic.Sleep(ctx, probeInterval)
	}
}
