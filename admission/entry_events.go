package admission

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// RemoveEntry removes the requests of a lost entry from the queue and frees the
// slots that they held: the targets see their connections close.
func (s *Scheduler) RemoveEntry(now time.Time, host ident.Host) {
	s.ReconcileEntry(now, host, nil, nil)
}

// ReconcileEntry replaces the state of an entry's requests by the entry's own
// report.
func (s *Scheduler) ReconcileEntry(now time.Time, host ident.Host, queued []Request, dispatched []DispatchedRequest) {
	s.dropQueued(host, queued)
	s.dropRunning(now, host, dispatched)
	for _, reported := range dispatched {
		s.RestoreRunning(now, reported)
	}
	for _, r := range queued {
		s.Enqueue(now, r)
	}
}

// dropQueued removes the entry's queued requests that it no longer reports.
func (s *Scheduler) dropQueued(host ident.Host, queued []Request) {
	reported := make(map[ident.Request]bool, len(queued))
	for i := range queued {
		reported[queued[i].ID] = true
	}
	for id, q := range s.queue {
		if q.request.Entry == host && !reported[id] {
			s.dequeue(q)
		}
	}
}

// dropRunning releases the slots of the entry's running requests that it no
// longer reports.
func (s *Scheduler) dropRunning(now time.Time, host ident.Host, dispatched []DispatchedRequest) {
	reported := make(map[ident.Request]bool, len(dispatched))
	for i := range dispatched {
		reported[dispatched[i].Request.ID] = true
	}
	var lost []*runningRequest
	for id, r := range s.running {
		if r.request.Entry == host && !reported[id] {
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(a, b *runningRequest) int { return int(a.sequence) - int(b.sequence) })
	for _, r := range lost {
		s.releaseLost(now, r)
	}
}
