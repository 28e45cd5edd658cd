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

// lifeOf names one process of a host.
type lifeOf struct {
	host *host
	life int
}

// checkVersions looks for processes that knew a route of a configuration and later
// did not.
func (r *execution) checkVersions() verdict.Verdict {
	v := verdict.Verdict{Promise: NoConfigurationRollback}
	known := make(map[lifeOf]*call)
	calls := slices.Clone(r.callers.calls)
	slices.SortFunc(calls, func(a, b *call) int { return a.ended.Compare(b.ended) })
	for _, c := range calls {
		process := lifeOf{c.host, c.life}
		if c.version == 0 || c.reply.Status == 0 {
			continue
		}
		if c.reply.Status != http.StatusNotFound {
			v.Check(true, c.String)
			if before := known[process]; before == nil || before.version < c.version {
				known[process] = c
			}
			continue
		}
		before := known[process]
		v.Check(before == nil || before.version < c.version || c.begun.Before(before.ended), c.String)
	}
	return v
}

// checkStops looks at the calls that were in service when a host that no other fault
// acted on was told to stop.
func (r *execution) checkStops() verdict.Verdict {
	v := verdict.Verdict{Promise: GracefulShutdown}
	for _, c := range r.callers.calls {
		for _, stop := range c.host.stops {
			if c.begun.Before(stop) && c.ended.After(stop) {
				v.Check(!brokenOff(c), c.String)
			}
		}
	}
	return v
}

// brokenOff says that the caller's connection ended without a final answer, though the
// caller still waited. A stream whose target broke off ends so as well.
func brokenOff(c *call) bool {
	return c.reply.Err != nil && c.reply.Status == 0
}

func (r *execution) checkHosts() verdict.Verdict {
	v := verdict.Verdict{Promise: NoUnexpectedExit}
	for _, h := range r.system.hosts {
		v.Check(len(h.ended) == 0, func() string {
			return fmt.Sprintf("%s ended by itself in its lives %v", h.Name, h.ended)
		})
	}
	err := errors.Join(r.injector.errs...)
	v.Check(err == nil, func() string { return err.Error() })
	logs, err := r.system.logs()
	v.Check(err == nil, func() string { return err.Error() })
	for _, trouble := range []string{"DATA RACE", "panic: ", "goroutine 1 ["} {
		v.Check(!strings.Contains(logs, trouble), func() string { return "a log holds " + trouble })
	}
	return v
}

func (r *execution) checkLast() verdict.Verdict {
	v := verdict.Verdict{Promise: RecoversAfterFaults}
	for _, c := range r.last {
		v.Check(c.reply.Succeeded(), c.String)
	}
	return v
}

func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }
