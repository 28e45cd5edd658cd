package loadmodel

import "time"

// Class is one kind of request.
type RequestClass struct {
	Name string
	// PerSecond is the arrivals over all hosts.
	PerSecond float64
	// Priority is the route's; 0 is served first.
	Priority  int
	Objective time.Duration
	Deadline  time.Duration
	// Prompt and Output are mean numbers of tokens; each request draws its own with
	// the spread of a log-normal distribution.
	Prompt       int
	PromptSpread float64
	Output       int
	OutputSpread float64
	// Repeatable requests may go on at another engine.
	Retryable bool
	// Worth is what an answer on time is worth, and Late a late one.
	Value     float64
	LateValue float64
}
