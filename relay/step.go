package relay

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/schedule"
)

// StepKind names a decision about a request.
type StepKind int

const (
	// StepAccepted: the route and the team were found.
	StepAccepted StepKind = iota
	// StepOverQuota: the team's quota is used up.
	StepOverQuota
	// StepPlaced: the scheduler gave the request a slot.
	StepPlaced
	// StepShed: the scheduler refused the request.
	StepShed
	// StepAttempt: an exchange with a target ended.
	StepAttempt
	// StepRepeated: the request is sent to another target.
	StepRepeated
	// StepResumed: the rest of a stream is asked of another target.
	StepResumed
)

// Step is one decision about a request, with what it rested on. Fields that do not
// belong to the kind are zero.
type Step struct {
	At         time.Time
	Kind       StepKind
	Target     ident.Target
	Result     schedule.Result
	Cause      string
	Took       time.Duration
	Inputs     schedule.Inputs
	Quota      quota.Decision
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// maxSteps bounds the steps that are kept of one request.
const maxSteps = 32

func (x *execution) step(s Step) {
	s.At = time.Now()
	if len(x.steps) < maxSteps {
		x.steps = append(x.steps, s)
	}
}
