package relay

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/trial"
)

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

// awaitTrial records that a request is not sent to its target before recordTrial.
func (d *Dispatcher) awaitTrial(id ident.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.AwaitTrial(id)
}

// recordTrial records that a running request is a trial of its content, which is sent now.
func (d *Dispatcher) recordTrial(id ident.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordTrial(time.Now(), id)
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
