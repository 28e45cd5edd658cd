package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
)

const (
	// crashReportWindow is how long a crash is included in states for other hosts after
	// something became known of it. Hosts that miss all of these states read it in the
	// store.
	crashReportWindow = 3 * time.Second
	// fullCrashReportInterval is the time between two states with all crashes of that window,
	// so that each crash is in two of them. Those between hold what is new. When many targets crash at once, a full report has
	// several kilobytes; in each state, it filled the links of small hosts.
	fullCrashReportInterval = crashReportWindow / 2
	// maxReportedRuns bounds the runs in one state, which must fit a datagram.
	maxReportedRuns = 320
	// confirmationWindow is how long a target that can't be reached may take to lose its
	// entry for the loss to count as a crash.
	confirmationWindow = 10 * time.Second
	// maxUnconfirmed bounds the possible crashes that are remembered.
	maxUnconfirmed = 256
)

// RecordCrash records that the process of a target has ended without notice, which is a
// strike against each request that this host was running there. A target that was draining
// or had no entry any more has left as planned.
func (s *Scheduler) RecordCrash(now time.Time, crashed route.Target) {
	t := s.targets[crashed.Name]
	if t == nil || !t.available() {
		return
	}
	t.lostAt = now
	before := t.health
	t.health.eject(now, unreachableEjection)
	s.recordHealthChange(t, before, causeCrash)
	s.addCrash(now, s.crashOf(now, crashed))
}

// RecordUnreachable records that a target broke off a request and can't be reached. If its
// entry disappears too, or names another process, it has crashed.
func (s *Scheduler) RecordUnreachable(now time.Time, lost route.Target) {
	t := s.targets[lost.Name]
	if t == nil || !t.available() {
		return
	}
	t.lostAt = now
	s.addUnconfirmed(unconfirmedCrash{crash: s.crashOf(now, lost)})
}

// RecordBrokenOff records that a target broke off a request and accepts connections, maybe
// with another process. That was a crash if the target's entry names another process now or
// soon.
func (s *Scheduler) RecordBrokenOff(now time.Time, from route.Target) {
	t := s.targets[from.Name]
	if t == nil || !t.available() || from.StartUnixMs == 0 {
		return
	}
	if t.StartUnixMs != from.StartUnixMs {
		s.addCrash(now, s.crashOf(now, from))
		return
	}
	s.addUnconfirmed(unconfirmedCrash{crash: s.crashOf(now, from), accepts: true})
}

func (s *Scheduler) addUnconfirmed(c unconfirmedCrash) {
	s.unconfirmed = append(s.unconfirmed, c)
	if excess := len(s.unconfirmed) - maxUnconfirmed; excess > 0 {
		s.unconfirmed = slices.Delete(s.unconfirmed, 0, excess)
	}
}

// crashOf returns the crash of a target's process with the requests that this host was
// running on it.
func (s *Scheduler) crashOf(now time.Time, crashed route.Target) quarantine.Crash {
	c := quarantine.Crash{Target: crashed.Name, Process: crashed.StartUnixMs, At: now}
	if c.Process == 0 {
		c.Process = now.UnixMilli()
	}
	for _, r := range s.running {
		if runTime, sent := r.runTime(now); sent && r.target.Name == crashed.Name {
			c.Runs = append(c.Runs, r.request.Content.Runs(runTime, r.trial)...)
		}
	}
	return c
}

func (s *Scheduler) addCrash(now time.Time, c quarantine.Crash) {
	if s.crashes.Merge(now, c) {
		s.crashesChanged = true
		s.crashesUrgent = true
		s.crashEvents = append(s.crashEvents, c)
	}
}

// confirmCrashes records the crashes of targets whose entry has disappeared since, or
// names another process.
func (s *Scheduler) confirmCrashes(now time.Time, snapshot *route.TargetSnapshot) {
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(u unconfirmedCrash) bool {
		if now.Sub(u.crash.At) > confirmationWindow {
			return true
		}
		current, announced := snapshot.Targets[u.crash.Target]
		switch {
		case announced && current.Draining:
			return true
		case announced && (current.StartUnixMs == 0 || current.StartUnixMs == u.crash.Process):
			return false
		case !announced && u.accepts:
			return true
		default:
			s.addCrash(now, u.crash)
			return true
		}
	})
}

// MergeCrashes merges crashes that are known elsewhere.
func (s *Scheduler) MergeCrashes(now time.Time, crashes []quarantine.Crash) {
	for _, c := range crashes {
		s.crashesChanged = s.crashes.Merge(now, c) || s.crashesChanged
	}
}

// Crashes returns the known crashes.
func (s *Scheduler) Crashes(now time.Time) []quarantine.Crash { return s.crashes.Crashes(now) }

// TakeCrashEvents returns the crashes that this host recorded since the last call.
func (s *Scheduler) TakeCrashEvents() []quarantine.Crash {
	events := s.crashEvents
	s.crashEvents = nil
	return events
}

// OtherTargets returns up to n available targets of the pool of a target without itself, a
// random choice.
func (s *Scheduler) OtherTargets(than route.Target, n int) []route.Target {
	p := s.poolOf(than.Pool)
	var others []route.Target
	first := int(s.random() * float64(len(p.targets)))
	for i := range p.targets {
		t := p.targets[(first+i)%len(p.targets)]
		if t.available() && t.Name != than.Name && len(others) < n {
			others = append(others, t.Target)
		}
	}
	return others
}

// IsLeaving reports whether a target is draining, or has no entry any more.
func (s *Scheduler) IsLeaving(name ident.Target) bool {
	t := s.targets[name]
	return t == nil || !t.available()
}

// RecordLost records that a target's process ended without notice, and that this is known
// from a probe only.
func (s *Scheduler) RecordLost(now time.Time, name ident.Target) {
	t := s.targets[name]
	if t == nil || !t.available() {
		return
	}
	lost := quarantine.Crash{Target: name, Process: t.StartUnixMs, At: now}
	if lost.Process == 0 {
		lost.Process = now.UnixMilli()
	}
	s.addCrash(now, lost)
}

// SetSuspects sets the contents that may run in trials only, beside those that are known
// from crashes.
func (s *Scheduler) SetSuspects(digests []quarantine.Digest) { s.crashes.SetSuspects(digests) }

// SuspectsIn returns the digests because of which content may run only in a trial.
func (s *Scheduler) SuspectsIn(now time.Time, c quarantine.Content) []quarantine.Digest {
	return s.crashes.SuspectsIn(now, c)
}

// ConvictedIn returns the digests of content that are known to crash targets by themselves.
func (s *Scheduler) ConvictedIn(now time.Time, c quarantine.Content) []quarantine.Digest {
	return s.crashes.ConvictedIn(now, c)
}

// AwaitTrial records that a request that was dispatched is not sent before RecordTrial.
func (s *Scheduler) AwaitTrial(id ident.Request) {
	if r := s.running[id]; r != nil {
		r.awaitsTrial = true
	}
}

// RecordTrial records that a running request is a trial of its content, which is sent now.
func (s *Scheduler) RecordTrial(now time.Time, id ident.Request) {
	if r := s.running[id]; r != nil {
		r.trial, r.trialBegan = true, now
	}
}

// QuarantinedUntil returns the end of the quarantine of content, and whether it is quarantined
// now.
func (s *Scheduler) QuarantinedUntil(now time.Time, c quarantine.Content) (time.Time, bool) {
	return s.crashes.QuarantinedUntil(now, c)
}

// refuseQuarantined refuses the queued requests whose digest has been quarantined since
// the last call.
func (s *Scheduler) refuseQuarantined(now time.Time, actions []Action) []Action {
	if !s.crashesChanged {
		return actions
	}
	s.crashesChanged = false
	s.recordSuspicionChanges(now)
	s.recordQuarantineChanges(now)
	for _, p := range s.pools {
		p.queue.items = slices.DeleteFunc(p.queue.items, func(w *queuedRequest) bool {
			until, quarantined := s.crashes.QuarantinedUntil(now, w.request.Content)
			if quarantined {
				actions = append(actions, s.quarantineRefusal(now, p, w, until))
			}
			return quarantined
		})
	}
	return actions
}

// quarantineRefusal returns the refusal of a request that is not, or no longer, queued.
func (s *Scheduler) quarantineRefusal(now time.Time, p *pool, w *queuedRequest, until time.Time) *Refuse {
	delete(s.queued, w.request.ID)
	return &Refuse{
		Request:    w.request.ID,
		Reason:     outcome.Quarantined,
		Message:    QuarantineMessage,
		RetryAfter: until.Sub(now),
		Inputs:     s.inputs(now, p, w),
	}
}

// QuarantineMessage explains the refusal of a quarantined request.
const QuarantineMessage = "requests with this content crashed targets"

// takeCrashReport returns the crashes to include in the state for other hosts.
func (s *Scheduler) takeCrashReport(now time.Time, due bool) []quarantine.Crash {
	if !due && !s.crashesUrgent {
		return nil
	}
	s.crashesUrgent = false
	since, full := s.crashReports.next(now)
	if full {
		return newestCrashes(s.crashes.CrashesSince(now, since))
	}
	return newestCrashes(s.crashes.ChangesSince(now, since))
}

// newestCrashes returns the newest crashes with at most maxReportedRuns runs together, and at
// least one.
func newestCrashes(crashes []quarantine.Crash) []quarantine.Crash {
	runs := 0
	for i := len(crashes) - 1; i >= 0; i-- {
		runs += len(crashes[i].Runs)
		if runs > maxReportedRuns && i < len(crashes)-1 {
			return crashes[i+1:]
		}
	}
	return crashes
}

// recordServed records that a run of a request was served by a target.
func (s *Scheduler) recordServed(now time.Time, r *Request, by ident.Target) {
	for _, digest := range s.crashes.RecordServed(now, r.Content) {
		s.suspicionEvents = append(s.suspicionEvents, SuspicionEvent{Digest: digest, ServedBy: by})
		s.crashesChanged = true
		s.crashesUrgent = true
	}
}
