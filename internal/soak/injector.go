package soak

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

// injector disturbs the system.
type injector struct {
	system *system
	seed   uint64

	mu     sync.Mutex
	counts map[faultKind]int
	errs   []error
}

// run injects one fault after another until ctx ends. Several may run at once.
func (i *injector) run(ctx context.Context, stream int) {
	random := rand.New(rand.NewPCG(i.seed, 1<<32+uint64(stream)))
	all := faults()
	for ctx.Err() == nil {
		f := oneOf(random, all)
		err := f.act(ctx, i.system, random)
		i.note(f.kind, err)
		periodic.Sleep(ctx, shortestFault)
	}
}

func (i *injector) note(kind faultKind, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[kind]++
	if err != nil {
		i.errs = append(i.errs, err)
	}
}

// watch notes hosts that end though nobody told them to, until ctx ends.
func (i *injector) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range i.system.hosts {
			h.mu.Lock()
			if h.life > 0 && !h.told && !h.Running() {
				h.told = true
				h.ended = append(h.ended, h.life)
			}
			h.mu.Unlock()
		}
		periodic.Sleep(ctx, balanceInterval)
	}
}
