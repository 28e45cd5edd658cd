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

// DispatcherOptions configures a Dispatcher. All fields are required; the functions
// must not block.
type DispatcherOptions struct {
	Scheduler *schedule.Scheduler
	// OnStateChange is called after each change of the state sent to other hosts.
	OnStateChange func()
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
}

func (d *Dispatcher) nextWake(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wake := d.scheduler.NextWake(now); wake > 0 {
		return min(wake, peerExpiryInterval)
	}
	return peerExpiryInterval
}

// Configure applies a configuration and a target snapshot.
func (d *Dispatcher) Configure(now time.Time, pools map[ident.Pool]*route.Pool, targets *route.TargetSnapshot) {
	d.update(now, func(s *schedule.Scheduler) { s.Configure(now, pools, targets) })
}

// SetPeers sets the other hosts with their data centres.
func (d *Dispatcher) SetPeers(now time.Time, others map[ident.Host]ident.DataCentre) {
	d.update(now, func(s *schedule.Scheduler) { s.SetPeers(now, others) })
}

// SetCell sets this host's cell and the number of cells of its data centre.
func (d *Dispatcher) SetCell(now time.Time, own, cells int) {
	d.update(now, func(s *schedule.Scheduler) { s.SetCell(own, cells) })
}

// SetStateInterval sets the longest regular time between two states of another host, or
// between two aggregate states of another data centre.
func (d *Dispatcher) SetStateInterval(interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.SetStateInterval(interval)
}

// SetLeaving records that this host is stopping.
func (d *Dispatcher) SetLeaving(now time.Time) {
	d.update(now, func(s *schedule.Scheduler) { s.SetLeaving() })
}

// ApplyPeerState merges the state received from another host.
func (d *Dispatcher) ApplyPeerState(now time.Time, host ident.Host, state schedule.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ApplyPeerState(now, host, state)
	if d.scheduler.Queued() > 0 {
		d.deliverDecisions(now)
	}
}

// ApplyDataCentreState merges the aggregate state of the hosts of another data
// centre.
func (d *Dispatcher) ApplyDataCentreState(now time.Time, dc ident.DataCentre, hosts int, sum schedule.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ApplyDataCentreState(now, dc, hosts, sum)
	if d.scheduler.Queued() > 0 {
		d.deliverDecisions(now)
	}
}

// SetDistantHosts sets the other hosts that send this one no state of their own.
func (d *Dispatcher) SetDistantHosts(hosts []ident.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.SetDistantHosts(hosts)
}

// SilentPools returns the pools of which this host may reach no target, and those of which it
// is known to reach none.
func (d *Dispatcher) SilentPools(now time.Time) []ident.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(d.scheduler.SilentPools(now), d.scheduler.CutOffPools()...)
}

// Unheard reports whether this host is cut off from a pool although its targets accept
// connections.
func (d *Dispatcher) Unheard(now time.Time, pool ident.Pool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Unheard(now, pool)
}

// ProbeCandidates returns up to n available targets of a pool, a random choice.
func (d *Dispatcher) ProbeCandidates(pool ident.Pool, n int) []route.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.ProbeCandidates(pool, n)
}

// SetCutOff sets whether this host reaches no target of a pool.
func (d *Dispatcher) SetCutOff(now time.Time, pool ident.Pool, cutOff bool) (changed bool) {
	d.update(now, func(s *schedule.Scheduler) { changed = s.SetCutOff(now, pool, cutOff) })
	return changed
}

// passesOn reports whether requests for a pool are passed on to other hosts.
func (d *Dispatcher) passesOn(now time.Time, pool ident.Pool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.PassesOn(now, pool)
}

// AggregateState returns the aggregate state of this host and its direct peers, and
// the number of these hosts.
func (d *Dispatcher) AggregateState(now time.Time) (schedule.State, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.AggregateState(now)
}

// LocalState returns this host's state to send to other hosts.
func (d *Dispatcher) LocalState(now time.Time) schedule.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.LocalState(now)
}

// acquire enqueues a request and waits for the scheduler's decision. If ctx is done
// first, the request is not dispatched and acquire returns ctx's error.
func (d *Dispatcher) acquire(ctx context.Context, r schedule.Request) (schedule.Action, error) {
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

// recordCrash records that a target's process has ended without notice.
func (d *Dispatcher) recordCrash(crashed route.Target) {
	now := time.Now()
	d.update(now, func(s *schedule.Scheduler) { s.RecordCrash(now, crashed) })
}

// recordUnreachable records that a target broke off a request and can't be reached.
func (d *Dispatcher) recordUnreachable(lost route.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordUnreachable(time.Now(), lost)
}

// recordBrokenOff records that a target broke off a request and accepts connections.
func (d *Dispatcher) recordBrokenOff(from route.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordBrokenOff(time.Now(), from)
}

// quarantinedUntil returns the end of the quarantine of content, and whether it is quarantined
// now.
func (d *Dispatcher) quarantinedUntil(now time.Time, c quarantine.Content) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.QuarantinedUntil(now, c)
}

// SetSuspects sets the contents that may run in trials only, beside those that are known
// from crashes.
func (d *Dispatcher) SetSuspects(digests []quarantine.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.SetSuspects(digests)
}

// suspectsIn returns the digests because of which content may run only in a trial.
func (d *Dispatcher) suspectsIn(now time.Time, c quarantine.Content) []quarantine.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.SuspectsIn(now, c)
}

// convictedIn returns the digests of content that are known to crash targets by themselves.
func (d *Dispatcher) convictedIn(now time.Time, c quarantine.Content) []quarantine.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.ConvictedIn(now, c)
}

// trialDelay returns how long to wait before a trial of the digests.
func (d *Dispatcher) trialDelay(now time.Time, digests []quarantine.Digest) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.TrialDelay(now, digests)
}

// recordTrial records that a running request is a trial of its content.
func (d *Dispatcher) recordTrial(id ident.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordTrial(id)
}

// witnesses returns targets that a trial on the given one is compared with.
func (d *Dispatcher) witnesses(on route.Target) []trial.Observed {
	d.mu.Lock()
	defer d.mu.Unlock()
	var observed []trial.Observed
	for _, t := range d.scheduler.OtherTargets(on, trial.MaxWitnesses) {
		observed = append(observed, trial.Observed{Name: t.Name, Address: t.Address})
	}
	return observed
}

// isLeaving reports whether a target has announced that it will end.
func (d *Dispatcher) isLeaving(name ident.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.IsLeaving(name)
}

// recordLost records targets that ended during a trial.
func (d *Dispatcher) recordLost(lost []trial.Observed) {
	now := time.Now()
	d.update(now, func(s *schedule.Scheduler) {
		for _, t := range lost {
			s.RecordLost(now, t.Name)
		}
	})
}

// MergeCrashes merges crashes that were read from the store.
func (d *Dispatcher) MergeCrashes(now time.Time, crashes []quarantine.Crash) {
	d.update(now, func(s *schedule.Scheduler) { s.MergeCrashes(now, crashes) })
}

// Crashes returns the known crashes of targets.
func (d *Dispatcher) Crashes(now time.Time) []quarantine.Crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Crashes(now)
}

// update applies a change to the scheduler, delivers the resulting decisions and
// signals the state change.
func (d *Dispatcher) update(now time.Time, change func(*schedule.Scheduler)) {
	d.mu.Lock()
	change(d.scheduler)
	d.deliverDecisions(now)
	queued := d.scheduler.Queued() > 0
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
