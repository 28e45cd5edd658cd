package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

const (
	// stormFailureShare is the share of runs that fail in a storm.
	stormFailureShare = 0.8
	// stormRejectShare is the share of requests that are rejected in a storm.
	stormRejectShare = 0.2
	minStorm         = 100 * time.Millisecond
	maxStorm         = time.Second
	// maxCalm is the longest time between two storms. It is beyond the retry window, so that
	// storms begin at any place of the window.
	maxCalm = 4 * time.Second
)

// runStorms starts and ends storms on all targets until ctx ends.
func (r *runner) runStorms(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<34))
	for ctx.Err() == nil {
		end := r.system.storms.start()
		r.system.setStormy(true)
		periodic.Sleep(ctx, randomDuration(random, minStorm, maxStorm))
		r.system.setStormy(false)
		end()
		periodic.Sleep(ctx, randomDuration(random, minStorm, maxCalm))
	}
}

func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

func (s *system) setStormy(stormy bool) {
	rejectShare := 0.0
	if stormy {
		rejectShare = stormRejectShare
	}
	for _, t := range s.targets {
		t.stormy.Store(stormy)
		t.fake.SetRejectShare(rejectShare)
	}
}

// failInStorm breaks off most of the runs in a storm.
func (t *target) failInStorm(w http.ResponseWriter) {
	if !t.stormy.Load() || rand.Float64() >= stormFailureShare {
		return
	}
	if rand.IntN(2) == 0 {
		// Makes net/http close the connection.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusInternalServerError)
}
