package pool

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	// inboxSize is the capacity of an owner's event queue.
	inboxSize = 8192
	// maxEventBatch limits the queued events applied before a decision.
	maxEventBatch = 256
	// maxDecisionInterval is the maximum time between two decisions.
	maxDecisionInterval = 250 * time.Millisecond
	// pauseThreshold is the time without a decision from which the owner assumes
	// that its process was paused, and rebuilds its state.
	pauseThreshold = 2 * time.Second
)

// owner schedules one pool of this data centre. Its scheduler is confined to the
// goroutine of run; other goroutines submit events with offer.
type owner struct {
	options ManagerOptions
	key     key
	// fallback is set if another host owns the pool, and this one schedules only
	// its own requests because it could not reach the owner.
	fallback bool
	inbox    chan event
	// loadTargets holds the targets whose load reports are polled.
	loadTargets atomic.Pointer[[]settings.Target]
	// status is the latest snapshot for operators.
	status atomic.Pointer[admission.Snapshot]

	metrics *ownerMetrics

	unsynced unsyncedEntries

	// The fields from here on are confined to the goroutine of run.
	scheduler    *admission.Scheduler
	config       admission.Config
	recovery     *recovery
	ready        bool
	epoch        uint64
	lastDecision time.Time
	publication  publication
	// recordedStrikes holds the strike counts that were last recorded in the time
	// line.
	recordedStrikes map[quarantine.Digest]int
	// crashes holds the known crashes of targets. It outlives the scheduler.
	crashes *quarantine.Tracker
}

func newOwner(o ManagerOptions, k key, fallback bool) *owner {
	created := &owner{
		options:     o,
		fallback:    fallback,
		metrics:     newOwnerMetrics(o.Scope, k.pool),
		key:         k,
		inbox:       make(chan event, inboxSize),
		crashes:     quarantine.NewTracker(),
		publication: newPublication(),
	}
	created.loadTargets.Store(&[]settings.Target{})
	return created
}

// offer queues an event for the owner without blocking. If the inbox is full, the
// event is dropped and the entry it came from is asked for a full report.
func (o *owner) offer(from ident.Host, e event) {
	select {
	case o.inbox <- e:
	default:
		o.unsynced.add(from)
	}
}

// run schedules the pool until ctx ends.
func (o *owner) run(ctx context.Context, config admission.Config) {
	o.record(timeline.Event{Kind: timeline.OwnershipGained})
	defer o.record(timeline.Event{Kind: timeline.OwnershipLost})
	o.config = config
	o.rebuild(o.options.Now())
	polling, stop := context.WithCancel(ctx)
	defer stop()
	defer o.metrics.clear()
	go o.pollLoads(polling)
	for {
		timer := time.NewTimer(o.nextWakeDelay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case e := <-o.inbox:
			timer.Stop()
			o.process(e)
		case <-timer.C:
			o.process(nil)
		}
	}
}

// rebuild discards all scheduler state and requests a report from every entry.
func (o *owner) rebuild(now time.Time) {
	o.scheduler = admission.New(admission.Options{
		DataCentre: o.key.dataCentre,
		Pool:       o.key.pool,
		Usage:      o.options.Usage,
		Crashes:    o.crashes,
		Seed:       uint64(now.UnixNano()),
	})
	o.configure(now, o.config)
	o.epoch = uint64(now.UnixNano())
	o.lastDecision = now
	o.ready = false
	members := o.entries()
	o.recovery = newRecovery(now, members)
	for _, host := range members {
		o.requestReport(host)
	}
}

// entries returns the hosts whose requests this owner schedules.
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
	o.loadTargets.Store(&reporting)
}

// nextWakeDelay returns the time until the next decision is due.
func (o *owner) nextWakeDelay() time.Duration {
	now := o.options.Now()
	wait := maxDecisionInterval
	if !o.ready {
		wait = min(wait, o.recovery.wait(now))
	} else {
		wait = min(wait, o.scheduler.NextWake(now))
	}
	return max(wait, 0)
}

// process applies e, if any, and a batch of the queued events, then decides.
func (o *owner) process(e event) {
	now := o.options.Now()
	if now.Sub(o.lastDecision) > pauseThreshold {
		o.record(timeline.Event{Kind: timeline.PauseDetected, Detail: "owner rebuilds its state"})
		o.rebuild(now)
	}
	if e != nil {
		e.apply(o, now)
	}
	o.applyQueued(now)
	for _, host := range o.unsynced.drain() {
		o.requestReport(host)
	}
	o.decide(now)
	o.lastDecision = o.options.Now()
	o.publish(now)
}

func (o *owner) applyQueued(now time.Time) {
	for range maxEventBatch {
		select {
		case e := <-o.inbox:
			e.apply(o, now)
		default:
			return
		}
	}
}

// decide executes the scheduler's decisions once recovery is done.
func (o *owner) decide(now time.Time) {
	if !o.ready {
		if !o.recovery.done(now) {
			return
		}
		o.ready = true
		o.record(timeline.Event{Kind: timeline.OwnerReady})
	}
	for _, action := range o.scheduler.Decide(now) {
		o.execute(now, action)
	}
}
