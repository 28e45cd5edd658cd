package faultrun

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/outcome"
)

// check compares what callers were told with the targets' own records and with
// the time line.
func (r *execution) check(ctx context.Context) (*Result, error) {
	if err := r.archive.takeAll(r.cluster); err != nil {
		return nil, err
	}
	events, err := r.cluster.Events(ctx, r.cluster.Hosts...)
	if err != nil {
		return nil, err
	}
	verdicts := []Verdict{
		r.checkDispatches(),
		checkTierOrder(events),
		r.checkAnswers(),
		r.checkNotRun(),
		r.checkFilings(),
		r.checkLeaving(),
		r.checkStops(),
		r.checkSettings(events),
		r.checkAnswered(),
	}
	if strings.Contains(r.cluster.Logs(), "DATA RACE") {
		return nil, Error.New("a process reported a data race:\n%s", r.cluster.Logs())
	}
	result := r.summary(verdicts)
	if len(result.Violated()) > 0 {
		result.Logs = r.cluster.Logs()
	}
	return result, nil
}

func (r *execution) summary(verdicts []Verdict) *Result {
	result := &Result{Seed: r.options.Seed, Duration: r.options.Duration, Promises: verdicts}
	reasons := make(map[string]int)
	for _, c := range r.callers.engines {
		result.Calls++
		if c.answer.Whole {
			result.Succeeded++
		} else {
			reasons[c.reason()]++
		}
	}
	for _, c := range r.callers.filings {
		result.Calls++
		if c.err == nil && c.status == http.StatusOK {
			result.Succeeded++
		} else {
			reasons["filing "+string(c.reason)]++
		}
	}
	for _, kind := range faultKinds {
		if n := r.injector.counts[kind]; n > 0 {
			result.Faults = append(result.Faults, FaultCount{Kind: kind, Count: n})
		}
	}
	for _, err := range r.injector.errs {
		reasons["injector: "+err.Error()]++
	}
	result.Refusals = sortedReasons(reasons)
	return result
}

func (r *execution) checkDispatches() Verdict {
	v := Verdict{Promise: AtMostOneDispatch}
	for id, count := range r.archive.received {
		v.Check(count == 1, func() string { return fmt.Sprintf("dispatch %s was received %d times", id, count) })
	}
	return v
}

func (r *execution) checkAnswers() Verdict {
	v := Verdict{Promise: CorrectResponse}
	for _, c := range r.callers.engines {
		v.Check(c.ownContent(), c.String)
	}
	for _, c := range r.callers.filings {
		if c.err == nil && c.status == http.StatusOK {
			v.Check(strings.Contains(c.body, c.key), c.String)
		}
	}
	return v
}

// checkNotRun looks for requests that were told not to have run in the targets'
// records. Each prompt is sent once.
func (r *execution) checkNotRun() Verdict {
	v := Verdict{Promise: RefusedNotExecuted}
	for _, c := range r.callers.engines {
		if c.told() != outcome.NotRun {
			continue
		}
		prompt := engine.ChatPrompt([]engine.Message{{Role: "user", Content: engine.Content(c.call.Prompt)}})
		v.Check(!r.archive.prompts[xxhash.Sum64String(prompt)], c.String)
	}
	r.checkFilingsNotRun(&v)
	return v
}

// checkFilingsNotRun looks at filings of which every try was told not to have
// run.
func (r *execution) checkFilingsNotRun(v *Verdict) {
	other := make(map[string]bool)
	for _, c := range r.callers.filings {
		if c.outcome != outcome.NotRun {
			other[c.key] = true
		}
	}
	for _, c := range r.callers.filings {
		if !other[c.key] {
			v.Check(r.archive.keys[c.key] == 0, c.String)
		}
	}
}

// checkFilings checks that no filing ran twice, and that one that was answered
// whole did run.
func (r *execution) checkFilings() Verdict {
	v := Verdict{Promise: NonIdempotentOnce}
	for key, count := range r.archive.keys {
		v.Check(count <= 1, func() string { return fmt.Sprintf("filing %q ran %d times", key, count) })
	}
	for _, c := range r.callers.filings {
		if c.err == nil && c.status == http.StatusOK {
			v.Check(r.archive.keys[c.key] == 1, c.String)
		}
	}
	return v
}

func (r *execution) checkLeaving() Verdict {
	v := Verdict{Promise: NoRequestToLeavingTarget}
	for name, spans := range r.injector.leaving {
		for _, s := range spans {
			late := 0
			for _, at := range r.archive.times[name] {
				if at.After(s.from) && at.Before(s.to) {
					late++
				}
			}
			v.Check(late == 0, func() string {
				return fmt.Sprintf("%s took %d requests after %s", name, late, s.from.Format("15:04:05.000"))
			})
		}
	}
	return v
}

// checkStops checks that planned stops ended with status 0 and cut no call that
// was in progress.
func (r *execution) checkStops() Verdict {
	v := Verdict{Promise: GracefulShutdown}
	for _, s := range r.injector.stops {
		v.Check(s.status == 0, func() string { return fmt.Sprintf("%s stopped with status %d", s.host, s.status) })
		for _, c := range r.callers.engines {
			inProgress := c.host == s.host && c.begun.Before(s.span.from) && c.ended.After(s.span.from)
			if inProgress {
				v.Check(c.err == nil, c.String)
			}
		}
	}
	return v
}

// checkAnswered checks that each call got an answer with an outcome, unless its
// host was killed, or was not there when the call began.
func (r *execution) checkAnswered() Verdict {
	v := Verdict{Promise: EveryCallAnswered}
	for _, c := range r.callers.engines {
		refused := c.err != nil && strings.Contains(c.err.Error(), "connection refused")
		if !refused && !r.killedDuring(c) {
			v.Check(c.err == nil && (c.answer.Whole || c.told() != ""), c.String)
		}
	}
	return v
}

// killedDuring says whether the host of the call was killed in its time.
func (r *execution) killedDuring(c *engineCall) bool {
	for _, at := range r.injector.kills[c.host] {
		if c.begun.Before(at.Add(time.Second)) && c.ended.After(at) {
			return true
		}
	}
	return false
}
