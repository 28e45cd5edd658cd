package usage

// Counters counts requests, tokens and time since the start of a process.
type Counters struct {
	// Queued counts requests that entered the queue.
	Queued uint64 `json:"queued"`
	// Served counts complete responses, and ServedInTime those within their deadline.
	Served       uint64 `json:"served"`
	ServedInTime uint64 `json:"good"`
	// Shed, Infeasible, Preempted and Forwarded count requests by their final
	// outcome. Refused counts those with any other reason.
	Shed       uint64 `json:"shed"`
	Infeasible uint64 `json:"infeasible"`
	Preempted  uint64 `json:"preempted"`
	Forwarded  uint64 `json:"forwarded"`
	Refused    uint64 `json:"refused"`
	// Failed counts requests that started and were neither served nor preempted.
	Failed uint64 `json:"failed"`
	// PromptTokens and CachedTokens count the tokens of requests that started.
	PromptTokens uint64 `json:"promptTokens"`
	CachedTokens uint64 `json:"cachedTokens"`
	// Tokens counts generated tokens.
	Tokens uint64 `json:"tokens"`
	// TokenSeconds is the usage by which team shares are weighted.
	TokenSeconds float64 `json:"tokenSeconds"`
	// WastedPrefill counts the prompt tokens that were computed for incomplete
	// responses.
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
