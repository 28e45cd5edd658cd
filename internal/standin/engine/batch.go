package engine

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// maxStepLag is the delay of a step up to which later steps catch up with the
// schedule.
const maxStepLag = 20 * time.Millisecond

// Run executes the steps of the batch until ctx is done.
func (e *Engine) Run(ctx context.Context) error {
	var end time.Time
	for ctx.Err() == nil {
		if e.frozen.Wait(ctx) != nil {
			return nil
		}
		step, crashed := e.nextStep(time.Now())
		if crashed {
			e.options.Crash()
			return nil
		}
		if step.empty() {
			e.waitForWork(ctx)
			continue
		}
		end = stepEnd(end, time.Now(), step.duration)
		if standin.Sleep(ctx, time.Until(end)) != nil || e.frozen.Wait(ctx) != nil {
			return nil
		}
		e.finishStep(step, time.Now())
	}
	return nil
}

// stepEnd returns when a step that starts now ends. It compensates for a late timer of
// the previous step.
func stepEnd(previous, now time.Time, duration time.Duration) time.Time {
	if lag := now.Sub(previous); lag >= 0 && lag < maxStepLag {
		return previous.Add(duration)
	}
	return now.Add(duration)
}

func (e *Engine) waitForWork(ctx context.Context) {
	select {
	case <-e.wake:
	case <-ctx.Done():
	}
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// nextStep fills the batch and plans the next step. It reports whether a prompt that
// it started crashes the engine.
func (e *Engine) nextStep(now time.Time) (next step, crashed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = removeEnded(e.batch)
	e.waiting = removeEnded(e.waiting)
	for len(e.waiting) > 0 && len(e.batch) < e.options.MaxBatch {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.start(now, e.cache.match(r.blocks))
		e.batch = append(e.batch, r)
		if r.crashes {
			return step{}, true
		}
	}
	e.load.record(now, len(e.batch), len(e.waiting))
	next = planStep(e.batch, e.options)
	if e.faults.SlowFactor > 0 {
		next.duration = time.Duration(float64(next.duration) * e.faults.SlowFactor)
	}
	return next, false
}

func removeEnded(runs []*run) []*run {
	kept := runs[:0]
	for _, r := range runs {
		if r.active() {
			kept = append(kept, r)
		}
	}
	clear(runs[len(kept):])
	return kept
}

// finishStep applies the results of the step to its runs.
func (e *Engine) finishStep(s step, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range s.decode {
		e.decode(r, now)
	}
	for _, share := range s.prefill {
		e.prefill(share, now)
	}
	e.batch = removeEnded(e.batch)
	e.load.record(now, len(e.batch), len(e.waiting))
}

func (e *Engine) prefill(share prefillShare, now time.Time) {
	r := share.run
	if !r.active() {
		return
	}
	r.record.PrefillTokens += share.tokens
	r.prefillLeft -= share.tokens
	if r.prefillLeft > 0 {
		return
	}
	e.cache.add(r.blocks)
	e.decode(r, now)
}

func (e *Engine) decode(r *run, now time.Time) {
	if r.active() && r.addToken() {
		r.end(now, RunFinished)
	}
}
