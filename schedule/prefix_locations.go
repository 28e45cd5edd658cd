package schedule

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// recordPrefixLocation records on which target the prompt is processed, and queues the
// location of its last block, which identifies a session, for the other hosts.
func (s *Scheduler) recordPrefixLocation(now time.Time, r *Request, target ident.Target) {
	if len(r.PromptBlocks) == 0 {
		return
	}
	if p, t := s.pools[r.Pool], s.targets[target]; p.knowsMemory() && t != nil {
		s.recordPrefixes(now, p, r, t)
		return
	}
	for _, block := range r.PromptBlocks {
		s.prefixes.record(now, block.Hash, target)
	}
	last := r.PromptBlocks[len(r.PromptBlocks)-1]
	s.queuePrefixLocation(PrefixLocation{Hash: last.Hash, Target: target})
}

func (s *Scheduler) queuePrefixLocation(l PrefixLocation) {
	s.prefixLocations = append(s.prefixLocations, l)
	if excess := len(s.prefixLocations) - maxPrefixLocations; excess > 0 {
		s.prefixLocations = slices.Delete(s.prefixLocations, 0, excess)
		s.prefixLocationsSent = max(s.prefixLocationsSent-excess, 0)
	}
}

// maxPrefixLocations bounds the prefix locations that are waiting to be sent.
const maxPrefixLocations = 24

// takePrefixLocations returns the prefix locations to send. Each is returned twice,
// because a message may be lost.
func (s *Scheduler) takePrefixLocations() []PrefixLocation {
	locations := slices.Clone(s.prefixLocations)
	s.prefixLocations = slices.Delete(s.prefixLocations, 0, s.prefixLocationsSent)
	s.prefixLocationsSent = len(s.prefixLocations)
	return locations
}
