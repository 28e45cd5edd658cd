package loadmodel

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// decodeBeside is the part of their speed that requests keep while the engine
// computes a prompt beside them.
const decodeBeside = 0.15

// engine serves up to its slots at once and queues the rest.
type engine struct {
	name    ident.Target
	speed   float64
	slots   int
	running []*request
	queue   []*request
	lost    bool
}

func (e *engine) accept(r *request) {
	r.engine = e
	if len(e.running) < e.slots {
		e.running = append(e.running, r)
		return
	}
	e.queue = append(e.queue, r)
}

// drop takes out a request whose caller has left.
func (e *engine) drop(r *request) {
	same := func(other *request) bool { return other == r }
	e.running = slices.DeleteFunc(e.running, same)
	e.queue = slices.DeleteFunc(e.queue, same)
}

// step works for so long and returns the requests that got their first event and
// those that ended.
func (e *engine) step(s *Scenario, now, length time.Duration) (first, ended []*request) {
	if e.lost {
		return nil, nil
	}
	for len(e.running) < e.slots && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	decode := e.speed * length.Seconds() / s.TokenTime.Seconds()
	if prefilling := e.prefilling(); prefilling != nil {
		prefilling.prefillLeft -= (1 - decodeBeside) * e.speed * s.PrefillRate * length.Seconds()
		decode *= decodeBeside
	}
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			continue
		}
		if r.first == 0 {
			r.first = now
			first = append(first, r)
		}
		r.last = now
		r.tokensLeft -= decode
		if r.tokensLeft <= 0 {
			ended = append(ended, r)
		}
	}
	for _, r := range ended {
		e.drop(r)
	}
	return first, ended
}

func (e *engine) prefilling() *request {
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			return r
		}
	}
	return nil
}
