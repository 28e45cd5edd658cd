package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// silentSweep is the time between two searches for hosts that fell silent.
const silentSweep = 500 * time.Millisecond

// DispatcherOptions configures a Dispatcher. All fields are required; the functions
// must not block.
type DispatcherOptions struct {
	Scheduler *schedule.Scheduler
	// Changed is called after each change that other hosts should hear of.
	Changed func()
	// Noticed is called when targets begin or end a rest.
	Noticed func([]schedule.HealthEvent)
}

// Dispatcher lets the goroutines of requests use one scheduler. It carries out
// what the scheduler decides.
type Dispatcher struct {
	options DispatcherOptions

	mu        sync.Mutex
	scheduler *schedule.Scheduler
	waiting   map[ident.Request]chan schedule.Action
	// wake asks Run to set its timer anew.
	wake chan struct{}
}

// NewDispatcher returns a dispatcher; Run must be running for it to make progress.
func NewDispatcher(o DispatcherOptions) *Dispatcher {
	return &Dispatcher{
		options:   o,
		scheduler: o.Scheduler,
		waiting:   make(map[ident.Request]chan schedule.Action),
		wake:      make(chan struct{}, 1),
	}
}

// Run decides again when time passes, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	timer := time.NewTimer(silentSweep)
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
	d.decide(now)
}

func (d *Dispatcher) nextWake(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wake := d.scheduler.NextWake(now); wake > 0 {
		return min(wake, silentSweep)
	}
	return silentSweep
}

// Declare brings a configuration and a roster into force.
func (d *Dispatcher) Declare(now time.Time, pools map[ident.Pool]*route.Pool, roster *route.TargetSnapshot) {
	d.update(now, func(s *schedule.Scheduler) { s.Configure(now, pools, roster) })
}

// Members tells how many other hosts there are.
func (d *Dispatcher) Members(now time.Time, others int) {
	d.update(now, func(s *schedule.Scheduler) { s.SetPeerCount(now, others) })
}

// Hear takes in another host's state.
func (d *Dispatcher) Hear(now time.Time, host ident.Host, state schedule.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ApplyPeerState(now, host, state)
	if d.scheduler.Queued() > 0 {
		d.decide(now)
	}
}

// HearSum takes in the state of the hosts of another data centre.
func (d *Dispatcher) HearSum(now time.Time, dc ident.DataCentre, hosts int, sum schedule.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ApplyDataCentreState(now, dc, hosts, sum)
	if d.scheduler.Queued() > 0 {
		d.decide(now)
	}
}

// Sum returns what this host and those that it hears itself have, and their number.
func (d *Dispatcher) Sum(now time.Time) (schedule.State, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.AggregateState(now)
}

// State returns what to tell the other hosts.
func (d *Dispatcher) State(now time.Time) schedule.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.LocalState(now)
}

// acquire waits for the scheduler's decision on a request. It returns ctx's error
// if that ends first; the request is then not dispatched.
func (d *Dispatcher) acquire(ctx context.Context, r schedule.Request) (schedule.Action, error) {
	decided := make(chan schedule.Action, 1)
	d.update(time.Now(), func(s *schedule.Scheduler) {
		d.waiting[r.ID] = decided
		s.Enqueue(time.Now(), r)
	})
	select {
	case action := <-decided:
		return action, nil
	case <-ctx.Done():
		return nil, d.withdraw(ctx, r.ID, decided)
	}
}

// withdraw takes back a request whose context ended. A slot that was given at the
// same moment is freed.
func (d *Dispatcher) withdraw(ctx context.Context, id ident.Request, decided chan schedule.Action) error {
	d.update(time.Now(), func(s *schedule.Scheduler) {
		delete(d.waiting, id)
		s.Cancel(id)
	})
	select {
	case action := <-decided:
		if _, dispatched := action.(*schedule.Dispatch); dispatched {
			d.end(id, schedule.Abandoned)
		}
	default:
	}
	return ctx.Err()
}

// end frees the slot of a request.
func (d *Dispatcher) end(id ident.Request, result schedule.Result) {
	now := time.Now()
	d.update(now, func(s *schedule.Scheduler) { s.Finish(now, id, result) })
}

// firstEvent notes that a target began to answer with a stream.
func (d *Dispatcher) firstEvent(id ident.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordFirstEvent(time.Now(), id)
}

// progress notes events of a stream.
func (d *Dispatcher) progress(id ident.Request, events int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordProgress(time.Now(), id, events)
}

// reported notes the load that a target told.
func (d *Dispatcher) reported(id ident.Request, load int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ReportLoad(time.Now(), id, load)
}

// update changes the scheduler, carries out what it decides then and has the other
// hosts told.
func (d *Dispatcher) update(now time.Time, change func(*schedule.Scheduler)) {
	d.mu.Lock()
	change(d.scheduler)
	d.decide(now)
	waiting := d.scheduler.Queued() > 0
	d.mu.Unlock()
	d.options.Changed()
	if waiting {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// decide hands each decision to its request. The mutex is held.
func (d *Dispatcher) decide(now time.Time) {
	for _, action := range d.scheduler.Decide(now) {
		id := action.RequestID()
		decided, ok := d.waiting[id]
		if !ok {
			continue
		}
		delete(d.waiting, id)
		decided <- action
	}
	if notices := d.scheduler.TakeHealthEvents(); len(notices) > 0 {
		d.options.Noticed(notices)
	}
}

// Load returns figures of the present load, by pool.
func (d *Dispatcher) Load(now time.Time) []schedule.PoolLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.PoolLoads(now)
}
