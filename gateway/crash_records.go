package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/trial"
)

const (
	// crashSaveInterval is the time between two checks for crashes that the store lacks.
	crashSaveInterval = 500 * time.Millisecond
	// crashWriters is how many hosts of a group of connected peers write crashes. It is
	// more than one because a host may be unable to reach the store.
	crashWriters = 2
)

// crashRecords holds the crashes that were last read from the store. Through the store a
// host learns of crashes from before its start, and of those that hosts saw which it can't
// reach.
type crashRecords struct {
	logger *log.Logger

	mu     sync.Mutex
	stored map[crashedProcess]quarantine.Crash
}

// crashedProcess identifies a crash.
type crashedProcess struct {
	target  ident.Target
	process int64
}

func processOf(c *quarantine.Crash) crashedProcess { return crashedProcess{c.Target, c.Process} }

// replace replaces the crashes by those that were read from the store.
func (r *crashRecords) replace(crashes []quarantine.Crash) {
	stored := make(map[crashedProcess]quarantine.Crash, len(crashes))
	for _, c := range crashes {
		stored[processOf(&c)] = c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = stored
}

// differences returns the known crashes of which the store lacks something, and the stored
// ones that no longer count.
func (r *crashRecords) differences(now time.Time, known []quarantine.Crash) (missing, expired []quarantine.Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range known {
		stored, ok := r.stored[processOf(&c)]
		if ok && lacksRuns(&stored, &c) || !ok && (hasStrike(&c) || len(c.Runs) == 0) {
			missing = append(missing, c)
		}
	}
	for _, c := range r.stored {
		if now.Sub(c.At) >= quarantine.Retention {
			expired = append(expired, c)
		}
	}
	return missing, expired
}

// lacksRuns reports whether a stored crash lacks a run of the known one, or that it was
// cleared.
func lacksRuns(stored, known *quarantine.Crash) bool {
	return slices.ContainsFunc(known.Runs, func(run quarantine.Run) bool {
		return !slices.ContainsFunc(stored.Runs, func(other quarantine.Run) bool {
			return other.Digest == run.Digest && other.Cleared == run.Cleared && other.Trial == run.Trial
		})
	})
}

// hasStrike reports whether the crash is a strike against any digest.
func hasStrike(c *quarantine.Crash) bool {
	return slices.ContainsFunc(c.Runs, func(run quarantine.Run) bool { return !run.Cleared })
}

// saveCrashes writes crashes that the store lacks until ctx is done.
func (g *Gateway) saveCrashes(ctx context.Context) error {
	return periodic.Run(ctx, crashSaveInterval, func(now time.Time) {
		if g.state.peers.activeBefore(now, g.config.Host) >= crashWriters {
			return
		}
		missing, expired := g.state.crashes.differences(now, g.state.dispatcher.Crashes(now))
		if len(missing) == 0 && len(expired) == 0 {
			return
		}
		if err := g.directory.SaveCrashes(ctx, missing, expired); err != nil {
			g.state.crashes.logger.Warn().Err(err).Int("crashes", len(missing)).Msg("Storing crashes of targets failed; will retry.")
		}
	})
}

// CrashesChanged implements platform.Listener.
func (s *clusterState) CrashesChanged(crashes []quarantine.Crash) {
	s.crashes.replace(crashes)
	s.dispatcher.MergeCrashes(time.Now(), crashes)
	s.crashesLoaded.Store(true)
}

// logCrashes logs the crashes of targets that this host detected.
func (g *Gateway) logCrashes(crashes []quarantine.Crash) {
	for _, c := range crashes {
		if len(c.Runs) == 0 {
			g.logLost(&c)
			continue
		}
		g.metrics.Scope.Counter(metrics.GatewayTargetCrashes).Inc(1)
		digests := make([]string, 0, len(c.Runs))
		for _, run := range c.Runs {
			digests = append(digests, run.Digest.String())
		}
		g.state.crashes.logger.Warn().Str(eventlog.FieldEvent, eventlog.EventTargetCrashed).
			Str(eventlog.FieldTarget, string(c.Target)).Int64(eventlog.FieldProcess, c.Process).
			Strs(eventlog.FieldDigests, digests).Msg("Target crashed while it ran requests; each is a suspect.")
	}
}

// logLost logs a target that ended at the same time as that of a trial.
func (g *Gateway) logLost(c *quarantine.Crash) {
	g.state.crashes.logger.Warn().Str(eventlog.FieldEvent, eventlog.EventTargetLost).
		Str(eventlog.FieldTarget, string(c.Target)).Int64(eventlog.FieldProcess, c.Process).
		Msg("Target ended during a trial that it did not run; the crashes at this time have a common cause.")
}

// logQuarantineEvents logs the digests that were quarantined or released.
func (g *Gateway) logQuarantineEvents(events []schedule.QuarantineEvent) {
	for _, e := range events {
		if !e.Started {
			g.state.crashes.logger.Info().Str(eventlog.FieldEvent, eventlog.EventReleased).
				Stringer(eventlog.FieldDigest, e.Digest).Msg("Digest was released from quarantine.")
			continue
		}
		g.metrics.Scope.Counter(metrics.GatewayQuarantines).Inc(1)
		g.state.crashes.logger.Warn().Str(eventlog.FieldEvent, eventlog.EventQuarantined).
			Stringer(eventlog.FieldDigest, e.Digest).Int(eventlog.FieldStrikes, e.Strikes).
			Int64(eventlog.FieldAgeMs, time.Since(e.LastStrike).Milliseconds()).
			Int64(eventlog.FieldUntilMs, time.Until(e.Until).Milliseconds()).
			Msg("Digest is quarantined; requests with this content are refused.")
	}
}

// logSuspicionEvents logs what is known against digests, and which of them were cleared.
func (g *Gateway) logSuspicionEvents(events []schedule.SuspicionEvent) {
	for _, e := range events {
		if e.ServedBy != "" {
			g.state.crashes.logger.Info().Str(eventlog.FieldEvent, eventlog.EventCleared).
				Stringer(eventlog.FieldDigest, e.Digest).Str(eventlog.FieldTarget, string(e.ServedBy)).
				Msg("Digest was served; the crashes before do not count against it.")
			continue
		}
		g.state.crashes.logger.Info().Str(eventlog.FieldEvent, eventlog.EventSuspected).
			Stringer(eventlog.FieldDigest, e.Digest).Int(eventlog.FieldCrashes, e.Crashes).Int(eventlog.FieldStrikes, e.Strikes).
			Msg("Digest is a suspect; targets crashed while they ran it.")
	}
}

// logProbe logs what a probe found of a target that broke off a request.
func (g *Gateway) logProbe(digest quarantine.Digest, to route.Target, result target.ProbeResult) {
	g.state.crashes.logger.Info().Str(eventlog.FieldEvent, eventlog.EventTargetProbed).
		Str(eventlog.FieldTarget, string(to.Name)).Int64(eventlog.FieldProcess, to.StartUnixMs).
		Stringer(eventlog.FieldDigest, digest).Stringer(eventlog.FieldResult, result).
		Msg("Target that broke off a request was probed.")
}

// watchTrials follows the contents on trial until ctx is done. The first of the hosts that
// reach each other deletes old ones.
func (g *Gateway) watchTrials(ctx context.Context) error {
	return g.trials.Run(ctx, trial.ScanOptions{
		Sweeps:     func() bool { return g.state.peers.activeBefore(time.Now(), g.config.Host) == 0 },
		OnContents: g.state.dispatcher.SetSuspects,
	})
}

// logTrialEnd logs what a trial of content has shown.
func (g *Gateway) logTrialEnd(digest quarantine.Digest, on ident.Target, result trial.Result) {
	g.metrics.Scope.Tagged(map[string]string{metrics.TagResult: result.String()}).Counter(metrics.GatewayTrials).Inc(1)
	g.state.crashes.logger.Info().Str(eventlog.FieldEvent, eventlog.EventTrialEnded).
		Stringer(eventlog.FieldDigest, digest).Str(eventlog.FieldTarget, string(on)).
		Stringer(eventlog.FieldResult, result).Msg("Trial of content that may crash targets has ended.")
}
