package engine

import (
	"time"

	"github.com/cornelyard/cornelyard/internal/broadcast"
)

// run is the execution of one received request. The engine's mutex guards the fields
// that change.
type run struct {
	id      string
	kind    kind
	request *Request
	created time.Time
	digest  uint64
	blocks  []uint64
	length  int
	limited bool
	crashes bool

	record      RunRecord
	prefillLeft int
	readers     int
	// changed notifies when the number of tokens or the state changes.
	changed broadcast.Signal
}

func (r *run) active() bool {
	return r.record.State == RunWaiting || r.record.State == RunRunning
}

func (r *run) progress() progress {
	return progress{tokens: r.record.Tokens, state: r.record.State, changed: r.changed.Next()}
}

// start moves the run into the batch. The last token of the prompt is always computed,
// even if its block is cached, because the response is generated from it.
func (r *run) start(now time.Time, cachedBlocks int) {
	r.record.State = RunRunning
	r.record.Started = now
	r.record.CachedTokens = min(cachedBlocks*BlockTokens, max(0, r.record.PromptTokens-1))
	r.prefillLeft = r.record.PromptTokens - r.record.CachedTokens
}

// addToken adds a token and reports whether it was the last.
func (r *run) addToken() bool {
	r.record.Tokens++
	r.changed.Notify()
	return r.record.Tokens >= r.length
}

func (r *run) end(now time.Time, state RunState) {
	r.record.State = state
	r.record.Ended = now
	r.changed.Notify()
}

func (r *run) usage() *usage {
	return &usage{
		PromptTokens:        r.record.PromptTokens,
		CompletionTokens:    r.record.Tokens,
		TotalTokens:         r.record.PromptTokens + r.record.Tokens,
		PromptTokensDetails: usageDetails{CachedTokens: r.record.CachedTokens},
	}
}

func (r *run) finishReason() string {
	if r.limited {
		return "length"
	}
	return "stop"
}
