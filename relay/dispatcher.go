package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/trial"
)

// peerExpiryInterval is the time between two checks for timed-out peers.
const peerExpiryInterval = 500 * time.Millisecond

// DispatcherOptions configures a Dispatcher. All fields but OnQueue and ReadStates are required; the functions
// must not block.
type DispatcherOptions struct {
	Scheduler *schedule.Scheduler
	// OnStateChange is called after each change of the state sent to other hosts.
	OnStateChange func()
	// OnQueue is called with whether requests are queued, after each change that may affect it. Nil
	// means that nobody needs to know.
	OnQueue func(queued bool)
	// ReadStates takes in the states of other hosts that have arrived. It is called before each
	// decision on a request; nil means that they are taken in as they arrive.
	ReadStates func()
	// OnHealthEvents is called when targets are ejected or restored.
	OnHealthEvents func([]schedule.HealthEvent)
	// OnCrashes is called when this host detected crashes of targets.
	OnCrashes func([]quarantine.Crash)
	// OnQuarantineEvents is called when digests are quarantined or released.
	OnQuarantineEvents func([]schedule.QuarantineEvent)
	// OnSuspicionEvents is called when what is known against digests has changed.
	OnSuspicionEvents func([]schedule.SuspicionEvent)
	// OnLimitEvents is called when targets state, change or end a limit.
	OnLimitEvents func([]schedule.LimitEvent)
	// OnRateEvents is called when this host gets a part of a target's limit, or loses it.
	OnRateEvents func([]schedule.RateEvent)
	// OnMachineEvents is called when processes of targets first state how long work takes on
	// their machines.
	OnMachineEvents func([]schedule.MachineEvent)
	// OnScarcityEvents is called when the capacity of pools becomes scarce, or no longer is.
	OnScarcityEvents func([]schedule.ScarcityEvent)
	// OnPrefixEvents is called when targets did not have cached what was predicted.
	OnPrefixEvents func([]schedule.PrefixEvent)
	// OnMemoryEvents is called when requests wait for the memory of targets.
	OnMemoryEvents func([]schedule.MemoryEvent)
	// OnTrialEnd is called when a trial of content has ended.
	OnTrialEnd func(digest quarantine.Digest, to ident.Target, result trial.Result)
	// OnProbe is called with what a probe found of a target that broke off a request.
	OnProbe func(digest quarantine.Digest, to route.Target, result target.ProbeResult)
}

// Dispatcher gives concurrent requests access to one scheduler and delivers the
// scheduler's decisions to them.
type Dispatcher struct {
	options DispatcherOptions

	mu        sync.Mutex
	scheduler *schedule.Scheduler
	pending   map[ident.Request]chan schedule.Action
	// wake makes Run reset its timer.
	wake chan struct{}
}

// NewDispatcher returns a Dispatcher. Time-driven decisions are made only while Run
// is running.
func NewDispatcher(o DispatcherOptions) *Dispatcher {
	return &Dispatcher{
		options:   o,
		scheduler: o.Scheduler,
		pending:   make(map[ident.Request]chan schedule.Action),
		wake:      make(chan struct{}, 1),
	}
}

// Run makes the scheduler's time-driven decisions until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	timer := time.NewTimer(peerExpiryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
		case now := <-timer.C:
			d.tick(now)
		}
		timer.Reset(d.nextWake(time.Now()))
	}
}

func (d *Dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ExpirePeers(now)
	d.deliverDecisions(now)
	d.reportQueue()
}

// reportQueue calls OnQueue. The caller holds d.mu.
func (d *Dispatcher) reportQueue() {
	if d.options.OnQueue != nil {
		d.options.OnQueue(d.scheduler.Queued() > 0)
	}
}

func (d *Dispatcher) nextWake(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wake := d.scheduler.NextWake(now); wake > 0 {
		return min(wake, peerExpiryInterval)
	}
	return peerExpiryInterval
}

// readStates takes in the states of other hosts that have arrived.
func (d *Dispatcher) readStates() {
	if d.options.ReadStates != nil {
		d.options.ReadStates()
	}
}

// acquire enqueues a request and waits for the scheduler's decision. If ctx is done
// first, the request is not dispatched and acquire returns ctx's error.
func (d *Dispatcher) acquire(ctx context.Context, r schedule.Request) (schedule.Action, error) {
	d.readStates()
	decision := make(chan schedule.Action, 1)
	d.update(time.Now(), func(s *schedule.Scheduler) {
		d.pending[r.ID] = decision
		s.Enqueue(time.Now(), r)
	})
	select {
	case action := <-decision:
		return action, nil
	case <-ctx.Done():
		return nil, d.cancel(ctx, r.ID, decision)
	}
}

// cancel removes a request whose context is done. If the scheduler assigned it a slot
// concurrently, the slot is freed.
func (d *Dispatcher) cancel(ctx context.Context, id ident.Request, decision chan schedule.Action) error {
	d.update(time.Now(), func(s *schedule.Scheduler) {
		delete(d.pending, id)
		s.Cancel(id)
	})
	select {
	case action := <-decision:
		if _, dispatched := action.(*schedule.Dispatch); dispatched {
			d.finish(id, schedule.Abandoned)
		}
	default:
	}
	return ctx.Err()
}

// finish frees the slot of a request and records the result of its exchange.
func (d *Dispatcher) finish(id ident.Request, result schedule.Result) {
	now := time.Now()
	d.update(now, func(s *schedule.Scheduler) { s.Finish(now, id, result) })
}

// recordFirstEvent records that the first event of a stream arrived.
func (d *Dispatcher) recordFirstEvent(id ident.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordFirstEvent(time.Now(), id)
}

// recordProgress records further events of a stream.
func (d *Dispatcher) recordProgress(id ident.Request, events int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordProgress(time.Now(), id, events)
}

// reportResponse records what a target said of itself with a response.
func (d *Dispatcher) reportResponse(r *run, response *Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if response.Load.Known {
		d.scheduler.ReportLoad(now, r.slot, response.Load.Requests)
	}
	if d.scheduler.RecordMachineState(now, r.target, response.Load.Percent) {
		d.options.OnStateChange()
	}
	d.recordStatements(r.target, response.Statements)
}

// reportStatements records what the response of a failed exchange said about the target.
func (d *Dispatcher) reportStatements(from route.Target, said Statements) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordStatements(from, said)
}

// recordStatements is reportStatements for callers that hold d.mu.
func (d *Dispatcher) recordStatements(from route.Target, said Statements) {
	now := time.Now()
	changed := d.scheduler.RecordLimit(now, from, said.Limit)
	if said.Leaving {
		changed = d.scheduler.RecordLeaving(from) || changed
	}
	if said.Brittle || said.Authentic {
		d.scheduler.RecordBrittle(now, from, said.Brittle)
	}
	if said.Pause > 0 {
		d.scheduler.RecordPause(now, from, said.Pause)
	}
	if changed {
		d.deliverDecisions(now)
		d.options.OnStateChange()
	}
}

// update applies a change to the scheduler, delivers the resulting decisions and
// signals the state change.
func (d *Dispatcher) update(now time.Time, change func(*schedule.Scheduler)) {
	d.mu.Lock()
	change(d.scheduler)
	d.deliverDecisions(now)
	queued := d.scheduler.Queued() > 0
	d.reportQueue()
	d.mu.Unlock()
	d.options.OnStateChange()
	if queued {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// deliverDecisions hands each pending decision of the scheduler to its request. The
// caller holds d.mu.
func (d *Dispatcher) deliverDecisions(now time.Time) {
	for _, action := range d.scheduler.Decide(now) {
		id := action.RequestID()
		decision, ok := d.pending[id]
		if !ok {
			continue
		}
		delete(d.pending, id)
		decision <- action
	}
	if events := d.scheduler.TakeHealthEvents(); len(events) > 0 {
		d.options.OnHealthEvents(events)
	}
	if crashes := d.scheduler.TakeCrashEvents(); len(crashes) > 0 {
		d.options.OnCrashes(crashes)
	}
	if events := d.scheduler.TakeLimitEvents(); len(events) > 0 {
		d.options.OnLimitEvents(events)
	}
	if events := d.scheduler.TakeRateEvents(); len(events) > 0 {
		d.options.OnRateEvents(events)
	}
	if events := d.scheduler.TakeMachineEvents(); len(events) > 0 {
		d.options.OnMachineEvents(events)
	}
	if events := d.scheduler.TakeScarcityEvents(); len(events) > 0 {
		d.options.OnScarcityEvents(events)
	}
	if events := d.scheduler.TakePrefixEvents(); len(events) > 0 {
		d.options.OnPrefixEvents(events)
	}
	if events := d.scheduler.TakeMemoryEvents(); len(events) > 0 {
		d.options.OnMemoryEvents(events)
	}
	if events := d.scheduler.TakeSuspicionEvents(); len(events) > 0 {
		d.options.OnSuspicionEvents(events)
	}
	if events := d.scheduler.TakeQuarantineEvents(); len(events) > 0 {
		d.options.OnQuarantineEvents(events)
	}
}

// PoolLoads returns the current load of each pool.
func (d *Dispatcher) PoolLoads(now time.Time) []schedule.PoolLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.PoolLoads(now)
}

// Distances returns what is known of the other data centres.
func (d *Dispatcher) Distances(now time.Time) []schedule.Distance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Distances(now)
}
