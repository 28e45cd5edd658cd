package engine

import "time"

// prefillChunk is the most prompt tokens that one step computes.
const prefillChunk = 512

// share is the part of a step's prefill that one run gets.
type prefillShare struct {
	run    *run
	tokens int
}

// step is one pass over the batch: the running requests get a token each and
// the oldest unfinished prompts are computed further.
type step struct {
	decode   []*run
	prefill  []prefillShare
	duration time.Duration
}

func (s *step) empty() bool {
	return len(s.decode) == 0 && len(s.prefill) == 0
}

// planStep lays out the next step of the batch.
func planStep(batch []*run, o Options) step {
	var s step
	budget := prefillChunk
	for _, r := range batch {
		if r.prefillLeft == 0 {
			s.decode = append(s.decode, r)
			continue
		}
		if budget > 0 {
			tokens := min(budget, r.prefillLeft)
			s.prefill = append(s.prefill, prefillShare{run: r, tokens: tokens})
			budget -= tokens
		}
	}
	s.duration = decodeTime(len(s.decode), o) + prefillTime(prefillChunk-budget, o)
	return s
}

func decodeTime(batch int, o Options) time.Duration {
	if batch == 0 {
		return 0
	}
	return time.Duration(float64(o.DecodeGap) * (1 + o.GapGrowth*float64(batch-1)))
}

func prefillTime(tokens int, o Options) time.Duration {
	if o.PrefillRate == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / o.PrefillRate * float64(time.Second))
}
