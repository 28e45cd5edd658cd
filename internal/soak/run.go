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
	"github.com/cornelyard/cornelyard/internal/processortime"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
)

const (
	// startTimeout bounds the time until all hosts are ready.
	startTimeout = 30 * time.Second
	// recoveryTime is how long the system may take to recover after the last fault.
	recoveryTime = 4 * time.Second
	// recoveryCallCount is the number of calls that check that it has recovered.
	recoveryCallCount = 60
)

// Run starts a system, injects faults and checks the promises. Violations are part of
// the result; an error means that the run itself failed.
func Run(ctx context.Context, o Options) (*Result, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	builds, err := newBuilds(o.Former)
	if err != nil {
		return nil, err
	}
	s, err := startSystem(ctx, o, builds.first())
	if s == nil {
		return nil, err
	}
	keep := false
	defer func() { s.stop(keep) }()
	if err != nil {
		return nil, err
	}
	r := &runner{
		options:  o,
		system:   s,
		callers:  &callers{system: s, seed: o.Seed},
		injector: &injector{system: s, seed: o.Seed, counts: make(map[faultKind]int)},
	}
	if builds.former != nil {
		r.upgrade = &upgrade{builds: builds, runner: r}
	}
	meter := processortime.Start()
	err = r.run(ctx)
	machine := s.describeHosts() + "; callers, targets and store: " + meter.Stop()
	if err != nil {
		keep = true
		return nil, Error.New("%v; logs are in %s", err, s.dir)
	}
	result := r.check()
	keep = len(result.Violated()) > 0
	if keep {
		result.LogDirectory, result.Machine = s.dir, machine
	}
	return result, nil
}

// runner holds the state of one run.
type runner struct {
	options  Options
	system   *system
	callers  *callers
	injector *injector
	// upgrade is nil if the hosts run this build only.
	upgrade *upgrade
	// recoveryCalls are the calls made after the system had time to recover.
	recoveryCalls []*call
}

// run injects faults under load, lets the system recover and makes the recovery calls.
func (r *runner) run(ctx context.Context) error {
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for _, h := range r.system.hosts {
		go r.system.probeReadiness(watchCtx, h)
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.system.waitReady(startCtx); err != nil {
		return err
	}
	go r.injector.watchExits(watchCtx)
	if err := r.injectFaults(ctx); err != nil {
		return err
	}
	if err := r.clearFaults(); err != nil {
		return err
	}
	periodic.Sleep(ctx, recoveryTime)
	r.callAfterRecovery()
	return nil
}

// injectFaults injects faults for the configured duration while callers make calls. The
// calls stop after the last fault has ended. An upgrade that isn't completed is an error.
func (r *runner) injectFaults(ctx context.Context) error {
	callCtx, stopCalls := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for caller := range r.options.Callers {
		callers.Go(func() { r.callers.run(callCtx, caller) })
	}
	injectCtx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	var injecting sync.WaitGroup
	var upgradeErr error
	for stream := range r.options.Faults {
		injecting.Go(func() { r.injector.run(injectCtx, stream, faults()) })
	}
	for stream := range r.options.HostFaults {
		injecting.Go(func() { r.injector.run(injectCtx, r.options.Faults+stream, hostFaults()) })
	}
	if r.options.Storms {
		injecting.Go(func() { r.runStorms(injectCtx) })
	}
	if r.upgrade != nil {
		injecting.Go(func() {
			defer cancel()
			upgradeErr = r.upgrade.run(injectCtx)
		})
	}
	if r.options.Versions > 1 {
		injecting.Go(func() { r.system.breakStreams(injectCtx, r.options.Seed) })
	}
	injecting.Wait()
	stopCalls()
	callers.Wait()
	return upgradeErr
}

// clearFaults clears all faults that may still be in effect.
func (r *runner) clearFaults() error {
	r.system.store.SetDown(false)
	r.system.setStormy(false)
	for _, t := range r.system.targets {
		t.fake.SetRejecting(false)
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

// callAfterRecovery makes calls without faults. recoveryCalls leaves out those of the team
// with a quota, as they may be refused.
func (r *runner) callAfterRecovery() {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<33))
	for range recoveryCallCount {
		made := r.callers.make(random, fmt.Sprintf("last-%d", random.Uint64()))
		if !made.limited {
			r.recoveryCalls = append(r.recoveryCalls, made)
		}
		time.Sleep(callInterval)
	}
}

// logs returns the concatenated logs of all hosts.
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
