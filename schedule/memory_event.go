package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// memoryEventInterval is the least time between two events of a pool.
const memoryEventInterval = 10 * time.Second

// MemoryEvent says that requests of a pool wait although targets have free slots, because the
// memory there doesn't suffice for them, or not for those that other hosts may send at the same
// time. In the second case Left may exceed Tokens.
type MemoryEvent struct {
	Pool ident.Pool
	// Tokens is what the last of these requests needs, and Left the most that a target has room for.
	Tokens int
	Left   int
	// Waits is the number of such requests since the previous event.
	Waits int
}

// TakeMemoryEvents returns the events since the last call.
func (s *Scheduler) TakeMemoryEvents() []MemoryEvent {
	events := s.memoryEvents
	s.memoryEvents = nil
	return events
}

// recordMemoryWait counts a request that waits for memory, once.
func (s *Scheduler) recordMemoryWait(now time.Time, p *pool, w *queuedRequest) {
	if !w.lacksMemory || w.countedWait {
		return
	}
	w.countedWait = true
	p.memory.waits++
	if now.Sub(p.memory.waitEventAt) < memoryEventInterval {
		return
	}
	event := MemoryEvent{Pool: p.name, Tokens: w.request.memoryTokens(), Waits: p.memory.waits - p.memory.waitsReported}
	for _, t := range p.targets {
		event.Left = max(event.Left, p.memoryLeft(t))
	}
	p.memory.waitEventAt, p.memory.waitsReported = now, p.memory.waits
	s.memoryEvents = append(s.memoryEvents, event)
}
