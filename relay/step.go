package relay

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/schedule"
)

// StepKind is the kind of a decision about a request.
type StepKind int

const (
	// StepAccepted: a route matched, the team was authenticated and its quota sufficed.
	StepAccepted StepKind = iota
	// StepQuotaExceeded: the team's quota is exhausted.
	StepQuotaExceeded
	// StepQuarantined: requests with this content crashed targets.
	StepQuarantined
	// StepTrialBegun: the run is a trial of content that may crash targets.
	StepTrialBegun
	// StepTrialDenied: the content may run in a trial only, and none may begin now.
	StepTrialDenied
	// StepPlaced: the scheduler assigned the request a slot of a target.
	StepPlaced
	// StepShed: the scheduler refused the request.
	StepShed
	// StepAttemptEnded: an exchange with a target ended.
	StepAttemptEnded
	// StepRetried: the request is to be sent to another target.
	StepRetried
	// StepResumed: the remainder of a stream is to be requested from another target.
	StepResumed
	// StepRetryDenied: the exchange failed and the request is not retried.
	StepRetryDenied
	// StepHedged: the target of the current exchange has stalled, and a second exchange
	// was begun beside it.
	StepHedged
	// StepPassedOn: the request was sent to another host.
	StepPassedOn
	// StepHedgeDenied: the target of the current exchange has stalled, and no second
	// exchange can be begun.
	StepHedgeDenied
)

// Step is one decision about a request with the data it was based on. Fields that do
// not apply to the kind are zero.
type Step struct {
	At     time.Time
	Kind   StepKind
	Target ident.Target
	// Host is the other host to which a request is passed on.
	Host ident.Host
	// Version is that of the target's software.
	Version    string
	Result     schedule.Result
	Cause      string
	Duration   time.Duration
	Inputs     schedule.Inputs
	Quota      quota.Decision
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Reserved says that capacity is reserved for a caller that returns after RetryAfter.
	Reserved bool
	// TrialNumber is how many trials of the content there were since it was last cleared, or
	// zero if that is not known.
	TrialNumber int
	// RetryDenial is why a request is not retried.
	RetryDenial RetryDenial
}

// maxSteps bounds the steps that are recorded per request. Later ones are dropped.
const maxSteps = 32

func (x *execution) recordStep(s Step) {
	s.At = time.Now()
	x.stepsMu.Lock()
	defer x.stepsMu.Unlock()
	if len(x.steps) < maxSteps && !x.stepsTaken {
		x.steps = append(x.steps, s)
	}
}

// takeSteps returns the recorded steps. A goroutine that outlives the request, as that of a
// second run may, records none afterwards.
func (x *execution) takeSteps() []Step {
	x.stepsMu.Lock()
	defer x.stepsMu.Unlock()
	x.stepsTaken = true
	return x.steps
}
