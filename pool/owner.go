package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	// inboxSize bounds the events that wait for an owner.
	inboxSize = 8192
	// batchSize bounds the events applied between two decisions.
	batchSize = 256
	// maxWake bounds the time between two decisions.
	maxWake = 250 * time.Millisecond
	// pauseLimit is the time without a decision after which the owner takes
	// itself for paused and rebuilds its state.
	pauseLimit = 2 * time.Second
	// shareInterval is the time between two hints to other data centres.
	shareInterval = 500 * time.Millisecond
	// busyShareInterval is that time for a data centre that forwards requests.
	busyShareInterval = 50 * time.Millisecond
	// forwarderMemory is how long a data centre counts as forwarding.
	forwarderMemory = 2 * time.Second
)

// owner schedules one pool of this data centre. One goroutine, run, has its
// scheduler; others hand it events through offer.
type owner struct {
	options ManagerOptions
	key     key
	// fallback says that this host is not the owner but schedules its own
	// requests, because it could not reach the owner.
	fallback bool
	inbox    chan event
	// reporting holds the targets whose load is polled.
	reporting atomic.Pointer[[]settings.Target]
	// status is the newest picture for operators.
	status atomic.Pointer[admission.Snapshot]

	metrics *ownerMetrics

	// Fields below belong to run.
	scheduler *admission.Scheduler
	config    admission.Config
	recovery  *recovery
	ready     bool
	epoch     uint64
	decided   time.Time
	// shared and surveyed are the times of the last look at hints and of the
	// last snapshot.
	shared   time.Time
	surveyed time.Time
	// hinted is when each data centre was last told a hint, forwarders when it
	// last forwarded a request here.
	hinted     map[ident.DataCentre]time.Time
	forwarders map[ident.DataCentre]time.Time
	// struck is the strikes that were recorded last.
	struck map[admission.Digest]int

	mu sync.Mutex
	// unsynced names entries whose frames were dropped for want of room.
	unsynced map[ident.Host]struct{}
}

func newOwner(o ManagerOptions, k key, fallback bool) *owner {
	own := &owner{
		options:  o,
		fallback: fallback,
		metrics:  newOwnerMetrics(o.Scope, k.pool),
		key:      k,
		inbox:    make(chan event, inboxSize),
		unsynced: make(map[ident.Host]struct{}),

		hinted:     make(map[ident.DataCentre]time.Time),
		forwarders: make(map[ident.DataCentre]time.Time),
	}
	own.reporting.Store(&[]settings.Target{})
	return own
}

// offer hands an event to the owner and does not block. If there is no room the
// event is dropped and the entry from is asked for a report instead.
func (o *owner) offer(from ident.Host, e event) {
	select {
	case o.inbox <- e:
	default:
		o.markUnsynced(from)
	}
}

func (o *owner) markUnsynced(host ident.Host) {
	if host == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsynced[host] = struct{}{}
}

func (o *owner) takeUnsynced() []ident.Host {
	o.mu.Lock()
	defer o.mu.Unlock()
	var hosts []ident.Host
	for host := range o.unsynced {
		hosts = append(hosts, host)
		delete(o.unsynced, host)
	}
	return hosts
}

// run schedules the pool until ctx ends.
func (o *owner) run(ctx context.Context, config admission.Config) {
	o.record(timeline.Event{Kind: timeline.OwnerGained})
	defer o.record(timeline.Event{Kind: timeline.OwnerLost})
	o.config = config
	o.rebuild(o.options.Now())
	polling, stop := context.WithCancel(ctx)
	defer stop()
	defer o.metrics.clear()
	go o.pollLoads(polling)
	for {
		timer := time.NewTimer(o.wake())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case e := <-o.inbox:
			timer.Stop()
			o.step(e)
		case <-timer.C:
			o.step(nil)
		}
	}
}

// rebuild starts from nothing and asks every live member for a report.
func (o *owner) rebuild(now time.Time) {
	o.scheduler = admission.New(admission.Options{
		DataCentre: o.key.dataCentre,
		Pool:       o.key.pool,
		Usage:      o.options.Usage,
		Seed:       uint64(now.UnixNano()),
	})
	o.configure(now, o.config)
	o.epoch = uint64(now.UnixNano())
	o.decided = now
	o.ready = false
	members := o.entries()
	o.recovery = newRecovery(now, members)
	for _, host := range members {
		o.askReport(host)
	}
}

// entries returns the hosts whose requests are scheduled here.
func (o *owner) entries() []ident.Host {
	if o.fallback {
		return []ident.Host{o.options.Host}
	}
	return liveMembers(o.options.Members.View(), o.key.dataCentre)
}

func (o *owner) configure(now time.Time, c admission.Config) {
	o.config = c
	o.scheduler.Configure(now, c)
	var reporting []settings.Target
	for _, target := range c.Targets {
		if target.ReportsLoad {
			reporting = append(reporting, target)
		}
	}
	o.reporting.Store(&reporting)
}

// wake returns how long the owner may sleep.
func (o *owner) wake() time.Duration {
	now := o.options.Now()
	wait := maxWake
	if !o.ready {
		wait = min(wait, o.recovery.wait(now))
	} else {
		wait = min(wait, o.scheduler.NextWake(now))
	}
	return max(wait, 0)
}

// step applies e and whatever else waits, then decides.
func (o *owner) step(e event) {
	now := o.options.Now()
	if now.Sub(o.decided) > pauseLimit {
		o.record(timeline.Event{Kind: timeline.PauseSeen, Detail: "owner rebuilds its state"})
		o.rebuild(now)
	}
	if e != nil {
		e.apply(o, now)
	}
	o.applyWaiting(now)
	for _, host := range o.takeUnsynced() {
		o.askReport(host)
	}
	o.decide(now)
	o.decided = o.options.Now()
	o.share(now)
}

func (o *owner) applyWaiting(now time.Time) {
	for range batchSize {
		select {
		case e := <-o.inbox:
			e.apply(o, now)
		default:
			return
		}
	}
}

// decide carries out what the scheduler decides, once the state is known.
func (o *owner) decide(now time.Time) {
	if !o.ready {
		if !o.recovery.done(now) {
			return
		}
		o.ready = true
		o.record(timeline.Event{Kind: timeline.OwnerReady})
	}
	for _, action := range o.scheduler.Decide(now) {
		o.carryOut(now, action)
	}
}
