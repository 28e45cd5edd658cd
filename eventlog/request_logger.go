package eventlog

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/relay"
)

const (
	// servedSample is the part of the requests served without trouble of which
	// lines are written: one in so many.
	servedSample = 32
	// linesPerSecond bounds the lines about requests; those beyond are counted.
	linesPerSecond = 600
	// servedLines is the part of them that served requests may take, so that lines
	// of failed ones last.
	servedLines = linesPerSecond / 4
)

// RequestLogger writes the lines about requests. It implements relay.Observer. All steps
// of a request are written, or none: those of refused, failed and repeated ones, and
// of a sample of the others.
type RequestLogger struct {
	logger *log.Logger

	mu      sync.Mutex
	served  uint64
	second  time.Time
	written int
	dropped int
}

var _ relay.Observer = (*RequestLogger)(nil)

// NewRequestLogger returns a writer of lines to the logger.
func NewRequestLogger(logger *log.Logger) *RequestLogger { return &RequestLogger{logger: logger} }

// Finished implements relay.Observer.
func (r *RequestLogger) Finished(s relay.Summary) {
	if !r.admit(time.Now(), smooth(&s), len(s.Steps)+1) {
		return
	}
	for i := range s.Steps {
		r.writeStep(&s, &s.Steps[i])
	}
	r.writeEnd(&s)
}

// smooth says whether a request was served at the first try.
func smooth(s *relay.Summary) bool {
	return s.Refusal == nil && s.Dispatches <= 1 && s.Status < 500
}

// admit decides whether the lines of a request are written.
func (r *RequestLogger) admit(now time.Time, served bool, lines int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	limit := linesPerSecond
	if served {
		r.served++
		if r.served%servedSample != 0 {
			return false
		}
		limit = servedLines
	}
	if r.written+lines > limit {
		if !served {
			r.dropped += lines
		}
		return false
	}
	r.written += lines
	return true
}

// turn begins a new second, and tells what was dropped in the last.
func (r *RequestLogger) turn(now time.Time) {
	if now.Sub(r.second) < time.Second {
		return
	}
	if r.dropped > 0 {
		r.logger.Warn().Str(FieldEvent, EventLinesDropped).Int(FieldDropped, r.dropped).
			Msg("Lines about requests were dropped.")
	}
	r.second, r.written, r.dropped = now, 0, 0
}

func (r *RequestLogger) writeStep(s *relay.Summary, step *relay.Step) {
	entry := r.logger.Info().Time(FieldAt, step.At).Str(FieldRequest, bounded(string(s.Request)))
	switch step.Kind {
	case relay.StepAccepted:
		accepted(entry, s, step).Msg("Request accepted.")
	case relay.StepQuotaExceeded:
		accepted(entry, s, step).Str(FieldEvent, EventQuotaExceeded).Msg("Quota is used up.")
	case relay.StepPlaced:
		inputs(entry, step).Str(FieldEvent, EventPlaced).Str(FieldTarget, string(step.Target)).Msg("Request placed.")
	case relay.StepShed:
		inputs(entry, step).Str(FieldEvent, EventShed).Str(FieldReason, string(step.Reason)).
			Int64(FieldWaitMs, step.Inputs.PredictedWait.Milliseconds()).
			Int64(FieldRetryAfterMs, step.RetryAfter.Milliseconds()).Msg("Request refused by the scheduler.")
	case relay.StepAttemptEnded:
		entry.Str(FieldEvent, EventAttemptEnded).Str(FieldTarget, string(step.Target)).
			Str(FieldResult, step.Result.String()).Int64(FieldDurationMs, step.Duration.Milliseconds()).
			Str(FieldCause, bounded(step.Cause)).Msg("Exchange with a target ended.")
	case relay.StepRetried:
		entry.Str(FieldEvent, EventRetried).Msg("Request is sent to another target.")
	case relay.StepResumed:
		entry.Str(FieldEvent, EventResumed).Msg("Stream goes on at another target.")
	}
}

func accepted(entry *log.Entry, s *relay.Summary, step *relay.Step) *log.Entry {
	if step.Kind == relay.StepAccepted {
		entry = entry.Str(FieldEvent, EventAccepted)
	}
	return entry.
		Str(FieldRoute, s.Route).
		Str(FieldPool, string(s.Pool)).
		Str(FieldTeam, string(s.Team)).
		Uint64(FieldTableVersion, s.TableVersion).
		Int(FieldPromptTokens, s.PromptTokens).
		Int(FieldOutputTokens, s.OutputTokens).
		Int64(FieldDeadlineMs, s.Deadline.Milliseconds()).
		Int64(FieldQuotaCost, int64(s.QuotaCost)).
		Int64(FieldQuotaUsed, int64(step.Quota.Used)).
		Int64(FieldQuotaLimit, int64(step.Quota.Limit))
}

func inputs(entry *log.Entry, step *relay.Step) *log.Entry {
	in := &step.Inputs
	return entry.
		Int(FieldUsableTargets, in.UsableTargets).
		Int(FieldFreeSlots, in.FreeSlots).
		Int(FieldQueued, in.Queued).
		Int(FieldAhead, in.Ahead).
		Int(FieldPeers, in.Peers).
		Int64(FieldPeerStateAgeMs, in.PeerStateAge.Milliseconds())
}

func (r *RequestLogger) writeEnd(s *relay.Summary) {
	entry := r.logger.Info().
		Str(FieldRequest, bounded(string(s.Request))).
		Str(FieldEvent, EventEnded).
		Str(FieldRoute, s.Route).
		Str(FieldTeam, string(s.Team)).
		Int(FieldDispatches, s.Dispatches).
		Int64(FieldQueuedMs, s.QueueTime.Milliseconds()).
		Int64(FieldFirstEventMs, s.TimeToFirstEvent.Milliseconds()).
		Int64(FieldTotalMs, s.TotalTime.Milliseconds()).
		Int(FieldStatus, s.Status).
		Int(FieldEvents, s.Events)
	if s.Refusal != nil {
		entry = entry.
			Str(FieldOutcome, string(s.Refusal.Outcome)).
			Str(FieldReason, string(s.Refusal.Reason)).
			Int64(FieldRetryAfterMs, s.Refusal.RetryAfter.Milliseconds()).
			Bool(FieldTruncated, s.Truncated)
	}
	entry.Msg("Request ended.")
}

// maxFieldBytes bounds a field that holds what a caller or a target sent.
const maxFieldBytes = 200

func bounded(text string) string {
	if len(text) <= maxFieldBytes {
		return text
	}
	return text[:maxFieldBytes]
}
