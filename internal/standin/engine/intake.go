package engine

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/internal/broadcast"
)

// receive queues a run for the request and returns it with the faults that apply.
func (e *Engine) receive(id string, kind kind, request *Request, prompt string) (*run, RequestFaults) {
	length, limited := responseLength(prompt, request.limit())
	now := time.Now()
	digest := xxhash.Sum64String(prompt)
	r := &run{
		kind:    kind,
		request: request,
		created: now,
		digest:  digest,
		blocks:  blockHashes(prompt),
		length:  length,
		limited: limited,
		crashes: strings.Contains(prompt, e.options.CrashMarker),
		changed: broadcast.NewSignal(),
		record: RunRecord{
			State:        RunWaiting,
			Received:     now,
			PromptDigest: digest,
			PromptTokens: promptTokens(prompt),
		},
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.id = e.assignID(id)
	r.record.ID = r.id
	e.addToHistory(r)
	e.options.Journal.Append(r.id)
	e.waiting = append(e.waiting, r)
	e.load.record(now, len(e.batch), len(e.waiting))
	e.wakeUp()
	return r, e.faults.requestFaults(prompt)
}

func (e *Engine) assignID(id string) string {
	if id != "" {
		return id
	}
	e.generatedIDs++
	return fmt.Sprintf("unnamed-%d", e.generatedIDs)
}

func (e *Engine) addToHistory(r *run) {
	e.byID[r.id] = r
	e.history = append(e.history, r)
	if len(e.history) <= maxRuns {
		return
	}
	oldest := e.history[0]
	e.history = e.history[1:]
	if e.byID[oldest.id] == oldest {
		delete(e.byID, oldest.id)
	}
}

// rejectIfLeaving reports whether the engine is leaving. If so, it counts the request
// as refused.
func (e *Engine) rejectIfLeaving(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Leaving {
		e.refused[id]++
	}
	return e.faults.Leaving
}

// find returns the latest run with the ID, or nil.
func (e *Engine) find(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

func (e *Engine) refusesResume() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.RefuseResume
}

func (e *Engine) progress(r *run) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.progress()
}

func (e *Engine) usage(r *run) *usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.usage()
}

// cancel cancels the run unless it has ended.
func (e *Engine) cancel(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.active() {
		r.end(time.Now(), RunCancelled)
	}
}

// attach adds a reader of the run's response.
func (e *Engine) attach(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers++
}

// detach removes a reader. If it was the last one and no other attaches within the
// resume window, the run is cancelled.
func (e *Engine) detach(r *run, resumeWindow time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	if r.readers == 0 && r.active() {
		time.AfterFunc(resumeWindow, func() { e.cancelIfUnread(r) })
	}
}

func (e *Engine) cancelIfUnread(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.readers == 0 && r.active() {
		r.end(time.Now(), RunCancelled)
	}
}
