package relay

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// Observer is notified of finished requests. It must not block.
type Observer interface {
	Finished(s Summary)
}

// Summary describes a finished request.
type Summary struct {
	Request ident.Request
	Route   string
	// Kind is the kind of the route, or zero if no route matched.
	Kind route.Kind
	// Priority is the priority of the team.
	Priority int
	Pool     ident.Pool
	Team     ident.Team
	// Digest identifies the content of the request. It is zero if no team was
	// authenticated.
	Digest quarantine.Digest
	// Parts identifies the parts of the prompt that other requests may have too.
	Parts []quarantine.Digest
	// TableVersion is the version of the configuration that was applied.
	TableVersion uint64
	// TableCurrency is how current it was, for a request that it does not allow.
	TableCurrency TableCurrency
	// QuotaCost is the request's cost in units of the team's quota.
	QuotaCost float64
	// Target is the last target that the request was dispatched to.
	Target     ident.Target
	Dispatches int
	// Result is the result of the last dispatch, if there was one.
	Result schedule.Result
	// QueueTime is the time that the request waited for slots, whether it got one or not.
	QueueTime        time.Duration
	TotalTime        time.Duration
	TimeToFirstEvent time.Duration
	// Status is the status of the target's response, or zero if none was forwarded.
	Status int
	Events int
	// Refusal is why no complete response was forwarded, or nil if one was.
	Refusal      *outcome.Refusal
	PromptTokens int
	OutputTokens int
	// Deadline is the time from the request's arrival to its deadline.
	Deadline time.Duration
	// Objective is the latency objective of the route, or zero if it has none.
	Objective time.Duration
	// Resumes is set if the caller asked for the remainder of a stream, so that the request
	// is known to be a retry. Other retries of callers are not marked as such.
	Resumes bool
	// Steps are the decisions about the request in chronological order.
	Steps []Step
	// Truncated reports that the response ended prematurely.
	Truncated bool
}

// Late reports whether the response, or its first event, came after the objective.
func (s *Summary) Late() bool {
	if s.Objective == 0 {
		return false
	}
	if s.TimeToFirstEvent > 0 {
		return s.TimeToFirstEvent > s.Objective
	}
	return s.TotalTime > s.Objective
}

func (x *execution) summary(refusal *outcome.Refusal) Summary {
	s := Summary{
		Request:    x.call.ID,
		Pool:       x.pool,
		Team:       x.teamName(),
		Digest:     x.content.Whole,
		Parts:      x.content.Parts,
		Target:     x.target,
		Dispatches: x.dispatches,
		Result:     x.result,
		QuotaCost:  x.cost,
		QueueTime:  x.queueTime,
		TotalTime:  time.Since(x.call.ArrivalTime),
		Status:     x.delivery.status,
		Events:     x.delivery.events,
		Refusal:    refusal,
		Steps:      x.takeSteps(),

		PromptTokens: x.call.PromptTokens,
		Resumes:      x.call.Resumes,
	}
	if x.route != nil {
		s.Route = x.route.Name
		s.Kind = x.route.Kind
		s.OutputTokens = x.expectedOutput()
		s.Deadline = x.deadline.Sub(x.call.ArrivalTime)
		s.Objective = x.route.LatencyObjective
	}
	if x.team != nil {
		s.Priority = x.team.Priority
	}
	if x.table != nil {
		s.TableVersion = x.table.Version
		s.TableCurrency = x.tableCurrency
	}
	if !x.delivery.firstEventTime.IsZero() {
		s.TimeToFirstEvent = x.delivery.firstEventTime.Sub(x.call.ArrivalTime)
	}
	s.Truncated = refusal != nil && x.delivery.headWritten
	return s
}
