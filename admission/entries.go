package admission

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// RemoveEntry drops what a lost entry had queued and frees the slots it held: its
// targets see the connections close.
func (s *Scheduler) RemoveEntry(now time.Time, host ident.Host) {
	s.ReconcileEntry(now, host, nil, nil)
}

// ReconcileEntry replaces what is known of an entry by its own report.
func (s *Scheduler) ReconcileEntry(now time.Time, host ident.Host, queue []Request, inService []RunningRequest) {
	s.dropQueued(host, queue)
	s.dropRunning(now, host, inService)
	for _, in := range inService {
		s.RestoreRunning(now, in)
	}
	for _, r := range queue {
		s.Enqueue(now, r)
	}
}

// dropQueued forgets the entry's queued requests that it no longer has.
func (s *Scheduler) dropQueued(host ident.Host, queue []Request) {
	kept := make(map[ident.Request]bool, len(queue))
	for i := range queue {
		kept[queue[i].ID] = true
	}
	for id, q := range s.queue {
		if q.request.Entry == host && !kept[id] {
			s.dequeue(q)
		}
	}
}

// dropRunning releases the entry's requests in service that it no longer has.
func (s *Scheduler) dropRunning(now time.Time, host ident.Host, inService []RunningRequest) {
	kept := make(map[ident.Request]bool, len(inService))
	for i := range inService {
		kept[inService[i].Request.ID] = true
	}
	var lost []*running
	for id, r := range s.running {
		if r.request.Entry == host && !kept[id] {
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(a, b *running) int { return int(a.sequence) - int(b.sequence) })
	for _, r := range lost {
		s.dropped(now, r)
	}
}
