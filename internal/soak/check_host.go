package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/internal/verdict"
)

// hostProcess identifies one process of a host.
type hostProcess struct {
	host        *host
	incarnation int
}

// checkConfigurationVersions checks that no process forgets a route of a configuration
// version that it has already served.
func (r *runner) checkConfigurationVersions() verdict.Verdict {
	v := verdict.Verdict{Promise: NoConfigurationRollback}
	latest := make(map[hostProcess]*call)
	calls := slices.Clone(r.callers.calls)
	slices.SortFunc(calls, func(a, b *call) int { return a.finished.Compare(b.finished) })
	for _, c := range calls {
		process := hostProcess{c.host, c.incarnation}
		if c.version == 0 || c.reply.Status == 0 {
			continue
		}
		if c.reply.Status != http.StatusNotFound {
			v.Check(true, c.String)
			if before := latest[process]; before == nil || before.version < c.version {
				latest[process] = c
			}
			continue
		}
		before := latest[process]
		v.Check(before == nil || before.version < c.version || c.started.Before(before.finished), c.String)
	}
	return v
}

// checkGracefulShutdown checks the calls that were in progress when their host was ordered
// to stop. No other host fault is active at that time.
func (r *runner) checkGracefulShutdown() verdict.Verdict {
	v := verdict.Verdict{Promise: GracefulShutdown}
	for _, c := range r.callers.calls {
		for _, stop := range c.host.plannedStops {
			if c.started.Before(stop) && c.finished.After(stop) {
				v.Check(!connectionLost(c), c.String)
			}
		}
	}
	return v
}

// connectionLost reports whether the caller's connection ended without a response status
// while the caller was waiting. Errors after the status do not count, as a stream that
// its target aborts ends with one, too.
func connectionLost(c *call) bool {
	return c.reply.Err != nil && c.reply.Status == 0
}

func (r *runner) checkHostExits() verdict.Verdict {
	v := verdict.Verdict{Promise: NoUnexpectedExit}
	for _, h := range r.system.hosts {
		v.Check(len(h.unexpectedExits) == 0, func() string {
			return fmt.Sprintf("%s ended by itself in its lives %v", h.Name, h.unexpectedExits)
		})
	}
	err := errors.Join(append(r.injector.errs, r.system.faultErrs...)...)
	v.Check(err == nil, func() string { return err.Error() })
	logs, err := r.system.logs()
	v.Check(err == nil, func() string { return err.Error() })
	for _, marker := range []string{"DATA RACE", "panic: ", "goroutine 1 ["} {
		v.Check(!strings.Contains(logs, marker), func() string { return "a log holds " + marker })
	}
	return v
}

func (r *runner) checkRecovery() verdict.Verdict {
	v := verdict.Verdict{Promise: RecoversAfterFaults}
	for _, c := range r.recoveryCalls {
		v.Check(c.reply.Succeeded(), c.String)
	}
	return v
}

func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }
