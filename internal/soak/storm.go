package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

const (
	// stormRejectShare is the share of requests that targets reject in a storm.
	// stormFailureShare is the share of the others that fail: in most of them the target
	// answers with an error, as broken responses make hosts eject targets.
	stormRejectShare  = 0.8
	stormFailureShare = 0.5
	stormBrokenShare  = 0.1
	minStorm          = 200 * time.Millisecond
	maxStorm          = 500 * time.Millisecond
	// minStormInterval and maxStormInterval are the shortest and the longest time from one
	// storm to the next. They are about the retry window, at whose ends retries may pile up.
	minStormInterval = retryWindow * 8 / 10
	maxStormInterval = retryWindow * 11 / 10
)

// runStorms starts and ends storms on all targets until ctx ends.
func (r *runner) runStorms(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<34))
	for storm := 0; ctx.Err() == nil; storm++ {
		length := randomDuration(random, minStorm, maxStorm)
		end := r.system.storms.start()
		r.system.setStormy(true)
		r.burst(ctx, length, storm)
		r.system.setStormy(false)
		end()
		periodic.Sleep(ctx, randomDuration(random, minStormInterval, maxStormInterval)-length)
	}
}

// burst lets additional callers read for the given time.
func (r *runner) burst(ctx context.Context, length time.Duration, storm int) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var callers sync.WaitGroup
	for caller := range r.options.StormCallers {
		callers.Go(func() { r.callers.runReads(ctx, fmt.Sprintf("storm-%d-%d", storm, caller)) })
	}
	<-ctx.Done()
	callers.Wait()
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
	if rand.Float64() < stormBrokenShare {
		// Makes net/http close the connection.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusInternalServerError)
}
