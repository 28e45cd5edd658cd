package engine

import "time"

// prefillChunk is the maximum number of prompt tokens computed in one step.
const prefillChunk = 512

// step is one pass over the batch. Each run that has finished its prefill gets a
// token, and the prefill of the oldest other runs continues.
type step struct {
	decode   []*run
	prefill  []prefillShare
	duration time.Duration
}

func (s *step) empty() bool {
	return len(s.decode) == 0 && len(s.prefill) == 0
}

// planStep plans the next step of the batch.
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
