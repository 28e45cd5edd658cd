package faultrun

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

const (
	// concurrentSchedules is the number of independent fault schedules.
	concurrentSchedules = 2
	// faultInterval is the pause between two faults of one schedule.
	faultInterval = 300 * time.Millisecond
	// stopTimeout bounds a planned stop, and the start of a process after a fault.
	stopTimeout = time.Minute
	// slowFactor is the slowdown of a slow engine.
	slowFactor = 10
	// leavingGrace is how long a leaving target may still receive requests.
	leavingGrace    = 4 * time.Second
	platformDelayMs = 400
)

// injector runs the fault schedules. An object has at most one fault at a time: a
// schedule skips faults on objects that are in use.
type injector struct {
	cluster *testbed.Cluster
	callers *callers
	records *targetRecords

	mu               sync.Mutex
	inUse            map[any]bool
	counts           map[FaultKind]int
	leavingSpans     map[ident.Target][]span
	currentlyLeaving map[ident.Target]bool
	stops            []plannedStop
	// kills holds the times at which hosts were killed. Calls interrupted by a kill do
	// not count as violations.
	kills map[ident.Host][]time.Time
	errs  []error
}

func newInjector(cluster *testbed.Cluster, callers *callers, records *targetRecords) *injector {
	return &injector{
		cluster:          cluster,
		callers:          callers,
		records:          records,
		inUse:            make(map[any]bool),
		counts:           make(map[FaultKind]int),
		leavingSpans:     make(map[ident.Target][]span),
		currentlyLeaving: make(map[ident.Target]bool),
		kills:            make(map[ident.Host][]time.Time),
	}
}

// run runs one schedule until ctx ends.
func (i *injector) run(ctx context.Context, seed, schedule uint64) {
	random := rand.New(rand.NewPCG(seed, ^schedule))
	for ctx.Err() == nil {
		f := nextFault(random, i.cluster)
		if !i.acquire(f) {
			continue
		}
		if err := i.inject(f); err != nil {
			i.recordError(err)
		}
		i.release(f)
		time.Sleep(faultInterval)
	}
}

func (i *injector) recordError(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.errs = append(i.errs, err)
}

// affectedObjects returns the objects that a fault affects.
func (i *injector) affectedObjects(f fault) []any {
	switch f.kind {
	case KillHost, SuspendHost, StopHost:
		return []any{f.host}
	case PartitionPlatform:
		return []any{f.host, i.cluster.Platform}
	case TargetLeaves:
		return []any{f.target, i.cluster.Platform}
	case PartitionHosts, PartitionHostsOneWay, ResetHostConnections:
		return []any{f.host, f.other}
	case PartitionDataCentres:
		return []any{first, second}
	case PlatformOutage, SlowPlatform, LostPlatformReplies:
		return []any{i.cluster.Platform}
	default:
		return []any{f.target}
	}
}

func (i *injector) acquire(f fault) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, object := range i.affectedObjects(f) {
		if i.inUse[object] {
			return false
		}
	}
	for _, object := range i.affectedObjects(f) {
		i.inUse[object] = true
	}
	i.counts[f.kind]++
	return true
}

func (i *injector) release(f fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, object := range i.affectedObjects(f) {
		delete(i.inUse, object)
	}
}
