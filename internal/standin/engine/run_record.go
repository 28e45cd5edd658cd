package engine

import "time"

// RunState tells how far a run got.
type RunState string

// States of a run.
const (
	RunWaiting   RunState = "waiting"
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
)

// RunRecord tells what became of one received request. A request that is
// received twice has two.
type RunRecord struct {
	// ID is the request's X-Request-Id.
	ID       string    `json:"id"`
	State    RunState  `json:"state"`
	Received time.Time `json:"received"`
	// Started is when the run left the queue; zero if it didn't.
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	// PromptDigest is the xxhash of the prompt.
	PromptDigest uint64 `json:"promptDigest"`
	PromptTokens int    `json:"promptTokens"`
	CachedTokens int    `json:"cachedTokens"`
	// PrefillTokens is the number of prompt tokens that were computed.
	PrefillTokens int `json:"prefillTokens"`
	// Tokens is the number of tokens that were generated.
	Tokens int `json:"tokens"`
}
