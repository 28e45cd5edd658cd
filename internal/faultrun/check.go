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
	"github.com/cornelyard/cornelyard/peer"
)

// check compares the responses to callers with the targets' records and with the
// time line.
func (r *runner) check(ctx context.Context) (*Result, error) {
	if err := r.records.addAll(r.cluster); err != nil {
		return nil, err
	}
	events, err := r.cluster.Events(ctx, r.cluster.Hosts...)
	if err != nil {
		return nil, err
	}
	verdicts := []Verdict{
		r.checkDispatches(),
		checkTierOrder(events),
		r.checkResponses(),
		r.checkRefusedNotExecuted(),
		r.checkFilings(),
		r.checkLeavingTargets(),
		r.checkGracefulShutdown(),
		r.checkSettings(events),
		r.checkEveryCallAnswered(),
		r.checkFrames(),
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

func (r *runner) summary(verdicts []Verdict) *Result {
	result := &Result{Seed: r.options.Seed, Duration: r.options.Duration, Promises: verdicts}
	reasons := make(map[string]int)
	for _, c := range r.callers.engineCalls {
		result.Calls++
		if c.response.Whole {
			result.Succeeded++
		} else {
			reasons[c.reason()]++
		}
	}
	for _, c := range r.callers.filingCalls {
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

func (r *runner) checkDispatches() Verdict {
	v := Verdict{Promise: AtMostOneDispatch}
	for id, count := range r.records.dispatchCounts {
		v.Check(count == 1, func() string { return fmt.Sprintf("dispatch %s was received %d times", id, count) })
	}
	return v
}

func (r *runner) checkResponses() Verdict {
	v := Verdict{Promise: CorrectResponse}
	for _, c := range r.callers.engineCalls {
		v.Check(c.contentMatches(), c.String)
	}
	for _, c := range r.callers.filingCalls {
		if c.err == nil && c.status == http.StatusOK {
			v.Check(strings.Contains(c.body, c.key), c.String)
		}
	}
	return v
}

// checkRefusedNotExecuted checks that requests reported as not run are absent from the
// targets' records. It can look them up by prompt, as each prompt is sent once.
func (r *runner) checkRefusedNotExecuted() Verdict {
	v := Verdict{Promise: RefusedNotExecuted}
	for _, c := range r.callers.engineCalls {
		if c.reportedOutcome() != outcome.NotRun {
			continue
		}
		prompt := engine.ChatPrompt([]engine.Message{{Role: "user", Content: engine.Content(c.call.Prompt)}})
		v.Check(!r.records.promptDigests[xxhash.Sum64String(prompt)], c.String)
	}
	r.checkRefusedFilingsNotExecuted(&v)
	return v
}

// checkRefusedFilingsNotExecuted checks that no service received a filing of which every
// attempt was reported as not run.
func (r *runner) checkRefusedFilingsNotExecuted(v *Verdict) {
	otherOutcome := make(map[string]bool)
	for _, c := range r.callers.filingCalls {
		if c.outcome != outcome.NotRun {
			otherOutcome[c.key] = true
		}
	}
	for _, c := range r.callers.filingCalls {
		if !otherOutcome[c.key] {
			v.Check(r.records.filingCounts[c.key] == 0, c.String)
		}
	}
}

// checkFilings checks that no filing was executed twice, and that each filing with a
// successful response was executed.
func (r *runner) checkFilings() Verdict {
	v := Verdict{Promise: NonIdempotentOnce}
	for key, count := range r.records.filingCounts {
		v.Check(count <= 1, func() string { return fmt.Sprintf("filing %q ran %d times", key, count) })
	}
	for _, c := range r.callers.filingCalls {
		if c.err == nil && c.status == http.StatusOK {
			v.Check(r.records.filingCounts[c.key] == 1, c.String)
		}
	}
	return v
}

func (r *runner) checkLeavingTargets() Verdict {
	v := Verdict{Promise: NoRequestToLeavingTarget}
	for name, spans := range r.injector.leavingSpans {
		for _, s := range spans {
			late := 0
			for _, at := range r.records.receivedTimes[name] {
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

// checkGracefulShutdown checks that planned stops exited with status 0 and interrupted
// no call in progress.
func (r *runner) checkGracefulShutdown() Verdict {
	v := Verdict{Promise: GracefulShutdown}
	for _, s := range r.injector.stops {
		v.Check(s.status == 0, func() string { return fmt.Sprintf("%s stopped with status %d", s.host, s.status) })
		for _, c := range r.callers.engineCalls {
			inProgress := c.host == s.host && c.started.Before(s.span.from) && c.finished.After(s.span.from)
			if inProgress {
				v.Check(c.err == nil, c.String)
			}
		}
	}
	return v
}

// checkEveryCallAnswered checks that each call received a response with an outcome,
// unless its host was killed during the call or refused the connection.
func (r *runner) checkEveryCallAnswered() Verdict {
	v := Verdict{Promise: EveryCallAnswered}
	for _, c := range r.callers.engineCalls {
		refused := c.err != nil && strings.Contains(c.err.Error(), "connection refused")
		if !refused && !r.hostKilledDuring(c) {
			v.Check(c.err == nil && (c.response.Whole || c.reportedOutcome() != ""), c.String)
		}
	}
	return v
}

// hostKilledDuring reports whether the call's host was killed during the call, or up to
// a second before it began.
func (r *runner) hostKilledDuring(c *engineCall) bool {
	for _, at := range r.injector.kills[c.host] {
		if c.started.Before(at.Add(time.Second)) && c.finished.After(at) {
			return true
		}
	}
	return false
}

// checkFrames checks that no host missed a frame within a session with another host.
func (r *runner) checkFrames() Verdict {
	v := Verdict{Promise: NoFrameMissing}
	for line := range strings.Lines(r.cluster.Logs()) {
		if strings.Contains(line, peer.SessionEndedMessage) {
			v.Check(!strings.Contains(line, peer.ErrFrameMissing.Error()), func() string { return line })
		}
	}
	return v
}
