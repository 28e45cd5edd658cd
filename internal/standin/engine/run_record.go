package engine

import "time"

// RunRecord is the record of one received request. A request that is received twice
// has two records.
type RunRecord struct {
	// ID is the request's X-Request-Id.
	ID       string    `json:"id"`
	State    RunState  `json:"state"`
	Received time.Time `json:"received"`
	// Started is when the run left the queue. It is zero if it never did.
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	// PromptDigest is the xxhash of the prompt.
	PromptDigest uint64 `json:"promptDigest"`
	PromptTokens int    `json:"promptTokens"`
	CachedTokens int    `json:"cachedTokens"`
	// PrefillTokens is the number of prompt tokens computed.
	PrefillTokens int `json:"prefillTokens"`
	// Tokens is the number of tokens generated.
	Tokens int `json:"tokens"`
}
