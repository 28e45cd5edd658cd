package faultrun

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/storage"
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

// span is a period of time.
type span struct {
	from, to time.Time
}

// plannedStop is one planned stop of a host.
type plannedStop struct {
	host   ident.Host
	span   span
	status int
}

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

func newInjector(cluster *testbed.Cluster, callers *callers, verify *targetRecords) *injector {
	return &injector{
		cluster:          cluster,
		callers:          callers,
		records:          verify,
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

// inject injects a fault, holds it for its duration and clears it.
func (i *injector) inject(f fault) error {
	c := i.cluster
	switch f.kind {
	case KillHost:
		return i.killAndRestartHost(f)
	case SuspendHost:
		return i.injectFor(f, f.host.Suspend, f.host.Resume)
	case StopHost:
		return i.stopAndRestartHost(f)
	case PartitionHosts:
		return i.injectPeerFault(f, faultproxy.Faults{Cut: true})
	case PartitionHostsOneWay:
		return i.injectPeerFault(f, faultproxy.Faults{CutToTarget: true})
	case PartitionDataCentres:
		return i.injectFor(f,
			func() error { return c.SetDataCentreFaults(first, second, faultproxy.Faults{Cut: true}) },
			func() error { return c.SetDataCentreFaults(first, second, faultproxy.Faults{}) })
	case ResetHostConnections:
		return c.ResetPeers(f.host.ID(), f.other.ID())
	case PlatformOutage:
		return i.injectPlatformFault(f, standinplatform.Faults{Outage: true})
	case SlowPlatform:
		return i.injectPlatformFault(f, standinplatform.Faults{DelayMs: platformDelayMs})
	case LostPlatformReplies:
		return i.injectPlatformFault(f, standinplatform.Faults{LostConfirmations: -1})
	case PartitionPlatform:
		return i.injectFor(f,
			func() error { return c.SetPlatformFaults(f.host.ID(), faultproxy.Faults{Cut: true}) },
			func() error { return c.SetPlatformFaults(f.host.ID(), faultproxy.Faults{}) })
	case ResetTargetConnections:
		return c.ResetTarget("", f.targetName)
	case RefuseTargetConnections:
		return i.injectFor(f,
			func() error { return c.SetTargetFaults("", f.targetName, faultproxy.Faults{Refuse: true}) },
			func() error { return c.SetTargetFaults("", f.targetName, faultproxy.Faults{}) })
	case CloseReusedConnections:
		return i.injectEngineFault(f, engine.Faults{RequestFaults: engine.RequestFaults{CloseReused: true}})
	case SlowEngine:
		return i.injectEngineFault(f, engine.Faults{SlowFactor: slowFactor})
	case KillEngine:
		return i.killAndRestartEngine(f)
	case TargetLeaves:
		return i.markTargetLeaving(f)
	default:
		return Error.New("no such fault: %s", f.kind)
	}
}

// injectFor calls begin, and end after the fault's duration.
func (i *injector) injectFor(f fault, begin, end func() error) error {
	if err := begin(); err != nil {
		return err
	}
	time.Sleep(f.duration)
	return end()
}

func (i *injector) injectPeerFault(f fault, faults faultproxy.Faults) error {
	return i.injectFor(f,
		func() error { return i.cluster.SetPeerFaults(f.host.ID(), f.other.ID(), faults) },
		func() error { return i.cluster.SetPeerFaults(f.host.ID(), f.other.ID(), faultproxy.Faults{}) })
}

func (i *injector) injectPlatformFault(f fault, faults standinplatform.Faults) error {
	return i.injectFor(f,
		func() error { return i.cluster.Platform.SetFaults(faults) },
		func() error { return i.cluster.Platform.SetFaults(standinplatform.Faults{}) })
}

func (i *injector) injectEngineFault(f fault, faults engine.Faults) error {
	return i.injectFor(f,
		func() error { return f.target.SetEngineFaults(faults) },
		func() error { return f.target.SetEngineFaults(engine.Faults{}) })
}

func (i *injector) killAndRestartHost(f fault) error {
	i.mu.Lock()
	i.kills[f.host.ID()] = append(i.kills[f.host.ID()], time.Now())
	i.mu.Unlock()
	return i.injectFor(f, f.host.Kill, func() error { return i.restartHost(f.host) })
}

func (i *injector) restartHost(host *testbed.Host) error {
	i.callers.setOutOfRotation(host.ID(), true)
	if err := host.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := host.WaitReady(ctx)
	i.callers.setOutOfRotation(host.ID(), false)
	return err
}

// stopAndRestartHost stops a host gracefully and starts it again. The host is taken out
// of rotation before it is told to stop.
func (i *injector) stopAndRestartHost(f fault) error {
	s := plannedStop{host: f.host.ID(), span: span{from: time.Now()}}
	i.callers.setOutOfRotation(f.host.ID(), true)
	if err := f.host.Terminate(); err != nil {
		return err
	}
	status, err := f.host.Wait(stopTimeout)
	if err != nil {
		return err
	}
	s.status, s.span.to = status, time.Now()
	i.mu.Lock()
	i.stops = append(i.stops, s)
	i.mu.Unlock()
	return i.restartHost(f.host)
}

// killAndRestartEngine saves an engine's record, which is lost with the process, kills
// the engine and starts it again.
func (i *injector) killAndRestartEngine(f fault) error {
	if err := i.records.addEngine(f.targetName, f.target); err != nil {
		return err
	}
	return i.injectFor(f, f.target.Kill, func() error {
		if err := f.target.Start(); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return f.target.WaitListening(ctx)
	})
}

// markTargetLeaving marks a target as leaving for longer than the grace period, so that
// dispatches after it can be checked.
func (i *injector) markTargetLeaving(f fault) error {
	if err := i.setLeaving(f.targetName, true); err != nil {
		return err
	}
	begin := time.Now()
	time.Sleep(leavingGrace + f.duration)
	i.mu.Lock()
	i.leavingSpans[f.targetName] = append(i.leavingSpans[f.targetName], span{from: begin.Add(leavingGrace), to: time.Now()})
	i.mu.Unlock()
	return i.setLeaving(f.targetName, false)
}

func (i *injector) setLeaving(name ident.Target, leaving bool) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.currentlyLeaving[name] = leaving
	entries := i.cluster.HostEntries()
	for n := range entries {
		if i.currentlyLeaving[ident.Target(entries[n].Name)] {
			entries[n].State = storage.HostLeaving
		}
	}
	return i.cluster.Platform.SetHosts(entries)
}
