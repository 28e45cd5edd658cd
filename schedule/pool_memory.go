package schedule

import "time"

// poolMemory describes how the requests of a pool use the memory of its targets.
type poolMemory struct {
	// privateShare is the mean part of a request's memory that is not a block of its prompt,
	// and so is free after its end.
	privateShare float64
	counts       PrefixCounts
	// wrong counts the wrong predictions since the last event, which was at eventAt.
	wrong   int
	eventAt time.Time
	// waits counts the requests that had to wait for memory, and waitsReported those of them up to
	// the last event about it, which was at waitEventAt.
	waits         int
	waitsReported int
	waitEventAt   time.Time
}

// PrefixCounts counts tokens of the prompts that this host sent to the targets of a pool since its
// start.
type PrefixCounts struct {
	// Predicted counts those that the target was predicted to have cached, and Confirmed and
	// Refuted those of them of which the time to the first event showed whether it had.
	Predicted int64
	Confirmed int64
	Refuted   int64
	// Evicted counts those that targets are estimated to have evicted.
	Evicted int64
}

// privateShareWeight is the weight of a request in the mean part that is private.
const privateShareWeight = 0.05

// knowsMemory reports whether the memory of the pool's targets is known, so that their caches can be
// estimated from it.
func (p *pool) knowsMemory() bool { return p.engine != nil && p.engine.KVCacheTokens > 0 }

// recordUse updates the part of the memory that is private with a request.
func (m *poolMemory) recordUse(r *Request) {
	total := r.PromptTokens + r.OutputTokens
	if total <= 0 {
		return
	}
	private := total
	for _, prefix := range r.promptPrefixes() {
		private -= prefix.tokens
	}
	updateEWMA(&m.privateShare, min(max(float64(private), 0)/float64(total), 1), privateShareWeight)
}

// prefixRoom returns how many tokens of prefixes fit into the memory of a target beside what its
// running requests need for themselves.
func (p *pool) prefixRoom(t *target) int {
	private := p.memory.privateShare * float64(max(t.kv+t.peers.KVTokens, 0))
	return max(p.engine.KVCacheTokens-int(private), 0)
}
