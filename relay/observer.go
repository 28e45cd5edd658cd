package relay

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// Observer is told how requests ended. It must not block.
type Observer interface {
	Finished(s Summary)
}

// Summary is how one request ended.
type Summary struct {
	Request ident.Request
	Route   string
	// Kind is the route's, or zero without a route.
	Kind route.Kind
	// Priority is the team's.
	Priority int
	Pool     ident.Pool
	Team     ident.Team
	// TableVersion is the version of the configuration that decided.
	TableVersion uint64
	// QuotaCost is what the request counts in its team's quota.
	QuotaCost float64
	// Target is the last one that it was sent to.
	Target     ident.Target
	Dispatches int
	// Result is how the last dispatch ended, if there was one.
	Result           schedule.Result
	QueueTime        time.Duration
	TotalTime        time.Duration
	TimeToFirstEvent time.Duration
	// Status is the target's, if a part of its answer was passed on.
	Status int
	Events int
	// Refusal is the system's own answer, or nil.
	Refusal      *outcome.Refusal
	PromptTokens int
	OutputTokens int
	// Deadline is the time that the request has from its arrival.
	Deadline time.Duration
	// Steps are the decisions in their order.
	Steps []Step
	// Truncated says that the answer was not whole.
	Truncated bool
}

func (x *execution) summary(refusal *outcome.Refusal) Summary {
	s := Summary{
		Request:    x.call.ID,
		Pool:       x.pool,
		Team:       x.teamName(),
		Target:     x.target,
		Dispatches: x.dispatches,
		Result:     x.result,
		QuotaCost:  x.cost,
		QueueTime:  x.queued,
		TotalTime:  time.Since(x.call.ArrivalTime),
		Status:     x.relayed.status,
		Events:     x.relayed.events,
		Refusal:    refusal,
		Steps:      x.steps,

		PromptTokens: x.call.PromptTokens,
	}
	if x.route != nil {
		s.Route = x.route.Name
		s.Kind = x.route.Kind
		s.OutputTokens = x.expectedOutput()
		s.Deadline = x.deadline.Sub(x.call.ArrivalTime)
	}
	if x.team != nil {
		s.Priority = x.team.Priority
	}
	if x.table != nil {
		s.TableVersion = x.table.Version
	}
	if !x.relayed.firstAt.IsZero() {
		s.TimeToFirstEvent = x.relayed.firstAt.Sub(x.call.ArrivalTime)
	}
	s.Truncated = refusal != nil && x.relayed.begun
	return s
}
