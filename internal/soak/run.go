package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
)

const (
	// startLimit bounds the start of the system.
	startLimit = 30 * time.Second
	// recoverTime is what the system has to recover after the last fault.
	recoverTime = 4 * time.Second
	// lastCalls is the number of calls that check that it has.
	lastCalls = 60
)

// Run starts a system, disturbs it and checks the promises. It returns an error only
// if the run itself failed.
func Run(ctx context.Context, o Options) (*Result, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := startSystem(ctx, o)
	if s == nil {
		return nil, err
	}
	keep := false
	defer func() { s.stop(keep) }()
	if err != nil {
		return nil, err
	}
	r := &execution{
		options:  o,
		system:   s,
		callers:  &callers{system: s, seed: o.Seed},
		injector: &injector{system: s, seed: o.Seed, counts: make(map[faultKind]int)},
	}
	if err := r.play(ctx); err != nil {
		keep = true
		return nil, Error.New("%v; logs are in %s", err, s.dir)
	}
	result := r.check()
	keep = len(result.Violated()) > 0
	if keep {
		result.LogDirectory = s.dir
	}
	return result, nil
}

// execution is one run.
type execution struct {
	options  Options
	system   *system
	callers  *callers
	injector *injector
	// last holds the calls after the system had time to recover.
	last []*call
}

// play disturbs the system under calls, lets it recover and calls again.
func (r *execution) play(ctx context.Context) error {
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for _, h := range r.system.hosts {
		go r.system.balance(watching, h)
	}
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := r.system.awaitReady(starting); err != nil {
		return err
	}
	go r.injector.watch(watching)
	r.disturb(ctx)
	if err := r.heal(); err != nil {
		return err
	}
	periodic.Sleep(ctx, recoverTime)
	r.callAgain()
	return nil
}

// disturb injects faults for the duration. The calls end after the last one.
func (r *execution) disturb(ctx context.Context) {
	calling, stopCalls := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for caller := range r.options.Callers {
		callers.Go(func() { r.callers.run(calling, caller) })
	}
	faulty, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	var injecting sync.WaitGroup
	for stream := range r.options.Faults {
		injecting.Go(func() { r.injector.run(faulty, stream) })
	}
	injecting.Wait()
	stopCalls()
	callers.Wait()
}

// heal ends what faults may have left behind.
func (r *execution) heal() error {
	r.system.store.SetDown(false)
	for _, t := range r.system.targets {
		t.replica.SetRejecting(false)
		if err := t.link.SetFaults(faultproxy.Faults{}); err != nil {
			return Error.Wrap(err)
		}
	}
	for _, h := range r.system.hosts {
		if err := h.storeLink.SetFaults(faultproxy.Faults{}); err != nil {
			return Error.Wrap(err)
		}
		if err := h.Resume(); err != nil {
			return err
		}
	}
	return nil
}

// callAgain makes calls to which no fault is left. Those of the team with the quota
// may be refused.
func (r *execution) callAgain() {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<33))
	for range lastCalls {
		made := r.callers.make(random, fmt.Sprintf("last-%d", random.Uint64()))
		if !made.small {
			r.last = append(r.last, made)
		}
		time.Sleep(callPause)
	}
}

// logs returns what all hosts wrote.
func (s *system) logs() (string, error) {
	var all strings.Builder
	for _, h := range s.hosts {
		data, err := os.ReadFile(filepath.Clean(h.Log))
		if err != nil {
			return "", Error.Wrap(err)
		}
		all.Write(data)
	}
	return all.String(), nil
}
