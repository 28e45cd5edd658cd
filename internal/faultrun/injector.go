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
	// faultsAtOnce is the number of independent schedules.
	faultsAtOnce = 2
	// faultPause is the time between two faults of one schedule.
	faultPause = 300 * time.Millisecond
	// stopLimit bounds a planned stop.
	stopLimit = time.Minute
	// slowFactor is by how much a slow engine is slowed.
	slowFactor = 10
	// leavingGrace is how long a leaving target may get new work.
	leavingGrace = 4 * time.Second
	platformSlow = 400 // milliseconds of delay
)

// span is a time in which something holds.
type span struct {
	from, to time.Time
}

// stopped is one planned stop.
type stopped struct {
	host   ident.Host
	span   span
	status int
}

// injector carries out the schedules. Two faults never strike one object at
// once; the second waits.
type injector struct {
	cluster *testbed.Cluster
	callers *callers
	verify  *archive

	mu      sync.Mutex
	busy    map[any]bool
	counts  map[FaultKind]int
	leaving map[ident.Target][]span
	gone    map[ident.Target]bool
	stops   []stopped
	// kills holds when hosts were killed, so that calls cut by it are excused.
	kills map[ident.Host][]time.Time
	errs  []error
}

func newInjector(cluster *testbed.Cluster, callers *callers, verify *archive) *injector {
	return &injector{
		cluster: cluster,
		callers: callers,
		verify:  verify,
		busy:    make(map[any]bool),
		counts:  make(map[FaultKind]int),
		leaving: make(map[ident.Target][]span),
		gone:    make(map[ident.Target]bool),
		kills:   make(map[ident.Host][]time.Time),
	}
}

// run carries out one schedule until ctx ends.
func (i *injector) run(ctx context.Context, seed, schedule uint64) {
	random := rand.New(rand.NewPCG(seed, ^schedule))
	for ctx.Err() == nil {
		f := nextFault(random, i.cluster)
		if !i.take(f) {
			continue
		}
		if err := i.inject(f); err != nil {
			i.note(err)
		}
		i.release(f)
		time.Sleep(faultPause)
	}
}

func (i *injector) note(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.errs = append(i.errs, err)
}

// objects are what the fault strikes.
func (i *injector) objects(f fault) []any {
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

func (i *injector) take(f fault) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, object := range i.objects(f) {
		if i.busy[object] {
			return false
		}
	}
	for _, object := range i.objects(f) {
		i.busy[object] = true
	}
	i.counts[f.kind]++
	return true
}

func (i *injector) release(f fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, object := range i.objects(f) {
		delete(i.busy, object)
	}
}

// inject brings a fault about, waits and heals it.
func (i *injector) inject(f fault) error {
	c := i.cluster
	switch f.kind {
	case KillHost:
		return i.killHost(f)
	case SuspendHost:
		return i.hold(f, f.host.Suspend, f.host.Resume)
	case StopHost:
		return i.stopHost(f)
	case PartitionHosts:
		return i.peers(f, faultproxy.Faults{Cut: true})
	case PartitionHostsOneWay:
		return i.peers(f, faultproxy.Faults{CutToTarget: true})
	case PartitionDataCentres:
		return i.hold(f,
			func() error { return c.SetDataCentreFaults(first, second, faultproxy.Faults{Cut: true}) },
			func() error { return c.SetDataCentreFaults(first, second, faultproxy.Faults{}) })
	case ResetHostConnections:
		return c.ResetPeers(f.host.ID(), f.other.ID())
	case PlatformOutage:
		return i.platform(f, standinplatform.Faults{Outage: true})
	case SlowPlatform:
		return i.platform(f, standinplatform.Faults{DelayMs: platformSlow})
	case LostPlatformReplies:
		return i.platform(f, standinplatform.Faults{LostConfirmations: -1})
	case PartitionPlatform:
		return i.hold(f,
			func() error { return c.SetPlatformFaults(f.host.ID(), faultproxy.Faults{Cut: true}) },
			func() error { return c.SetPlatformFaults(f.host.ID(), faultproxy.Faults{}) })
	case ResetTargetConnections:
		return c.ResetTarget("", f.name)
	case RefuseTargetConnections:
		return i.hold(f,
			func() error { return c.SetTargetFaults("", f.name, faultproxy.Faults{Refuse: true}) },
			func() error { return c.SetTargetFaults("", f.name, faultproxy.Faults{}) })
	case CloseReusedConnections:
		return i.engine(f, engine.Faults{RequestFaults: engine.RequestFaults{CloseReused: true}})
	case SlowEngine:
		return i.engine(f, engine.Faults{SlowFactor: slowFactor})
	case KillEngine:
		return i.killEngine(f)
	case TargetLeaves:
		return i.targetLeaves(f)
	default:
		return Error.New("no such fault: %s", f.kind)
	}
}

// hold begins a fault and ends it after its time.
func (i *injector) hold(f fault, begin, end func() error) error {
	if err := begin(); err != nil {
		return err
	}
	time.Sleep(f.length)
	return end()
}

func (i *injector) peers(f fault, faults faultproxy.Faults) error {
	return i.hold(f,
		func() error { return i.cluster.SetPeerFaults(f.host.ID(), f.other.ID(), faults) },
		func() error { return i.cluster.SetPeerFaults(f.host.ID(), f.other.ID(), faultproxy.Faults{}) })
}

func (i *injector) platform(f fault, faults standinplatform.Faults) error {
	return i.hold(f,
		func() error { return i.cluster.Platform.SetFaults(faults) },
		func() error { return i.cluster.Platform.SetFaults(standinplatform.Faults{}) })
}

func (i *injector) engine(f fault, faults engine.Faults) error {
	return i.hold(f,
		func() error { return f.target.SetEngineFaults(faults) },
		func() error { return f.target.SetEngineFaults(engine.Faults{}) })
}

func (i *injector) killHost(f fault) error {
	i.mu.Lock()
	i.kills[f.host.ID()] = append(i.kills[f.host.ID()], time.Now())
	i.mu.Unlock()
	return i.hold(f, f.host.Kill, func() error { return i.restart(f.host) })
}

func (i *injector) restart(host *testbed.Host) error {
	i.callers.takeOut(host.ID(), true)
	if err := host.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	err := host.WaitReady(ctx)
	i.callers.takeOut(host.ID(), false)
	return err
}

// stopHost stops a host gracefully; the balancer leaves it out at once.
func (i *injector) stopHost(f fault) error {
	s := stopped{host: f.host.ID(), span: span{from: time.Now()}}
	i.callers.takeOut(f.host.ID(), true)
	if err := f.host.Terminate(); err != nil {
		return err
	}
	status, err := f.host.Wait(stopLimit)
	if err != nil {
		return err
	}
	s.status, s.span.to = status, time.Now()
	i.mu.Lock()
	i.stops = append(i.stops, s)
	i.mu.Unlock()
	return i.restart(f.host)
}

// killEngine kills an engine after its record was taken, and starts it again.
func (i *injector) killEngine(f fault) error {
	if err := i.verify.takeEngine(f.name, f.target); err != nil {
		return err
	}
	return i.hold(f, f.target.Kill, func() error {
		if err := f.target.Start(); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
		defer cancel()
		return f.target.WaitListening(ctx)
	})
}

// targetLeaves lists a target as leaving for longer than the grace.
func (i *injector) targetLeaves(f fault) error {
	if err := i.setLeaving(f.name, true); err != nil {
		return err
	}
	begin := time.Now()
	time.Sleep(leavingGrace + f.length)
	i.mu.Lock()
	i.leaving[f.name] = append(i.leaving[f.name], span{from: begin.Add(leavingGrace), to: time.Now()})
	i.mu.Unlock()
	return i.setLeaving(f.name, false)
}

func (i *injector) setLeaving(name ident.Target, leaving bool) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.gone[name] = leaving
	entries := i.cluster.HostEntries()
	for n := range entries {
		if i.gone[ident.Target(entries[n].Name)] {
			entries[n].State = storage.HostLeaving
		}
	}
	return i.cluster.Platform.SetHosts(entries)
}
