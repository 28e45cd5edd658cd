package faultrun

import (
	"context"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

const (
	// startTimeout bounds the start of the cluster.
	startTimeout = time.Minute
	// settleTime is how long calls continue after the last fault, so that hosts rejoin
	// and claims are resolved.
	settleTime = 6 * time.Second
)

// Run starts a cluster, injects faults and checks the promises. Violations are part of
// the result; an error means that the run itself failed.
func Run(ctx context.Context, o Options) (*Result, error) {
	o = o.withDefaults()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cluster, err := testbed.Start(startCtx, spec())
	defer cluster.Stop()
	if err != nil {
		return nil, err
	}
	r := &runner{options: o, cluster: cluster, records: newTargetRecords()}
	r.callers = newCallers(cluster, o.Seed)
	r.injector = newInjector(cluster, r.callers, r.records)
	r.changes = &settingsChanger{cluster: cluster}
	r.injectFaults(ctx)
	if err := r.clearFaults(); err != nil {
		return nil, err
	}
	return r.check(ctx)
}

// runner holds the state of one run.
type runner struct {
	options  Options
	cluster  *testbed.Cluster
	callers  *callers
	injector *injector
	changes  *settingsChanger
	records  *targetRecords
}

// injectFaults injects faults while callers make calls and settings change. Calls and
// changes continue for settleTime after the last fault.
func (r *runner) injectFaults(ctx context.Context) {
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var callers sync.WaitGroup
	for caller := range r.options.Callers {
		callers.Go(func() { r.callers.run(callCtx, caller) })
	}
	callers.Go(func() { r.changes.run(callCtx) })
	injectCtx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	var injecting sync.WaitGroup
	for schedule := range concurrentSchedules {
		injecting.Go(func() { r.injector.run(injectCtx, r.options.Seed, uint64(schedule)) })
	}
	injecting.Wait()
	time.Sleep(settleTime)
	stopCalls()
	callers.Wait()
}

// clearFaults clears faults that may still be in effect and waits until the hosts are
// ready.
func (r *runner) clearFaults() error {
	c := r.cluster
	if err := c.Platform.SetFaults(standinplatform.Faults{}); err != nil {
		return err
	}
	if err := c.SetDataCentreFaults(first, second, faultproxy.Faults{}); err != nil {
		return err
	}
	for _, spec := range c.Spec.Targets {
		if spec.Pool == desk {
			continue
		}
		if err := c.Targets[spec.Name].SetEngineFaults(engine.Faults{}); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return c.WaitReady(ctx)
}
