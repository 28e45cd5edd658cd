package loadmodel

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// RequestClass describes one kind of request.
type RequestClass struct {
	Name string
	// Team is the team whose requests they are.
	Team ident.Team
	// PerSecond is the mean arrival rate over all hosts.
	PerSecond float64
	// Priority is the route's priority; 0 is the highest.
	Priority  int
	Objective time.Duration
	Deadline  time.Duration
	// Prompt and Output are mean lengths in tokens. Each request's lengths are drawn
	// from log-normal distributions with these means and the given spreads.
	Prompt       int
	PromptSpread float64
	Output       int
	OutputSpread float64
	// Prompts says which beginnings the prompts share. If it is nil, prompts have no blocks.
	Prompts *SharedPrompts
	// Retryable requests may be retried on another engine.
	Retryable bool
	// RetriesAtOnce is the number of retries that a caller sends retryPause after a refusal,
	// without regard to Retry-After. Otherwise it sends one.
	RetriesAtOnce int
	// Value is earned by a response that starts within the objective, LateValue by a
	// later one.
	Value     float64
	LateValue float64
}
