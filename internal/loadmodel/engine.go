package loadmodel

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// decodeShareDuringPrefill is the fraction of the decode speed that remains while the
// engine prefills a prompt in the same batch.
const decodeShareDuringPrefill = 0.15

// engine serves as many requests concurrently as it has slots, and queues the rest.
type engine struct {
	name    ident.Target
	speed   float64
	slots   int
	running []*request
	queue   []*request
	failed  bool
	// cache holds the prefixes of prompts, or is nil.
	cache *prefixCache
}

func (e *engine) accept(r *request) {
	r.engine = e
	if len(e.running) < e.slots {
		e.running = append(e.running, r)
		return
	}
	e.queue = append(e.queue, r)
}

// remove removes a request that has finished or was abandoned.
func (e *engine) remove(r *request) {
	same := func(other *request) bool { return other == r }
	e.running = slices.DeleteFunc(e.running, same)
	e.queue = slices.DeleteFunc(e.queue, same)
	if e.cache != nil {
		e.cache.release(r)
	}
}

// step advances the engine by length and returns the requests that produced their
// first event and those that finished.
func (e *engine) step(s *Scenario, now, length time.Duration) (first, ended []*request) {
	if e.failed {
		return nil, nil
	}
	for len(e.running) < e.slots && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	decode := e.speed * length.Seconds() / s.TokenTime.Seconds()
	if prefilling := e.prefillingRequest(); prefilling != nil {
		e.lookUpPrompt(prefilling)
		prefilling.prefillLeft -= (1 - decodeShareDuringPrefill) * e.speed * s.PrefillRate * length.Seconds()
		decode *= decodeShareDuringPrefill
	}
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			continue
		}
		if r.firstEvent == 0 {
			r.firstEvent = now
			first = append(first, r)
		}
		before := int(r.tokensLeft)
		r.tokensLeft -= decode
		if e.cache != nil {
			e.cache.grow(r, decode)
		}
		if r.newTokens = before - int(r.tokensLeft); r.newTokens > 0 || r.firstEvent == now {
			r.lastEvent = now
		}
		if r.tokensLeft <= 0 {
			ended = append(ended, r)
		}
	}
	for _, r := range ended {
		e.remove(r)
	}
	return first, ended
}

func (e *engine) prefillingRequest() *request {
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			return r
		}
	}
	return nil
}
