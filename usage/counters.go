package usage

// Counters count requests, tokens and time since the start of a process.
type Counters struct {
	// Queued counts requests that entered the queue.
	Queued uint64 `json:"queued"`
	// Served counts whole answers, and Good those within their deadline.
	Served       uint64 `json:"served"`
	ServedInTime uint64 `json:"good"`
	// Shed, Infeasible, Preempted, Forwarded and Refused count requests by their
	// final answer; Refused has those with any other reason.
	Shed       uint64 `json:"shed"`
	Infeasible uint64 `json:"infeasible"`
	Preempted  uint64 `json:"preempted"`
	Forwarded  uint64 `json:"forwarded"`
	Refused    uint64 `json:"refused"`
	// Failed counts requests that started and neither were served nor preempted.
	Failed uint64 `json:"failed"`
	// PromptTokens and CachedTokens are of requests that started.
	PromptTokens uint64 `json:"promptTokens"`
	CachedTokens uint64 `json:"cachedTokens"`
	// Tokens is the number of generated tokens.
	Tokens uint64 `json:"tokens"`
	// TokenSeconds is the use that team shares are weighed by.
	TokenSeconds float64 `json:"tokenSeconds"`
	// WastedPrefill counts the prompt tokens computed for answers that did not
	// become whole.
	WastedPrefill uint64 `json:"wastedPrefill"`
}

// Add adds other to the counters.
func (c *Counters) Add(other Counters) {
	c.Queued += other.Queued
	c.Served += other.Served
	c.ServedInTime += other.ServedInTime
	c.Shed += other.Shed
	c.Infeasible += other.Infeasible
	c.Preempted += other.Preempted
	c.Forwarded += other.Forwarded
	c.Refused += other.Refused
	c.Failed += other.Failed
	c.PromptTokens += other.PromptTokens
	c.CachedTokens += other.CachedTokens
	c.Tokens += other.Tokens
	c.TokenSeconds += other.TokenSeconds
	c.WastedPrefill += other.WastedPrefill
}
