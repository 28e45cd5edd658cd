package eventlog

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/relay"
)

const (
	// servedSampleInterval is the sampling interval for requests served at the first
	// attempt: the lines of one in this many are written.
	servedSampleInterval = 32
	// maxLinesPerSecond limits the lines about requests. Lines beyond the limit are
	// dropped and counted.
	maxLinesPerSecond = 600
	// maxServedLinesPerSecond limits the lines about served requests, so that they don't
	// use up the limit for failed ones.
	maxServedLinesPerSecond = maxLinesPerSecond / 4
)

// RequestLogger writes log lines about requests. It implements relay.Observer. It
// writes either all steps of a request or none: those of refused, failed and retried
// requests, and of a sample of the others.
type RequestLogger struct {
	logger *log.Logger

	mu           sync.Mutex
	servedCount  uint64
	secondStart  time.Time
	linesWritten int
	linesDropped int
}

var _ relay.Observer = (*RequestLogger)(nil)

// NewRequestLogger returns a RequestLogger that writes to the logger.
func NewRequestLogger(logger *log.Logger) *RequestLogger { return &RequestLogger{logger: logger} }

// Finished implements relay.Observer.
func (r *RequestLogger) Finished(s relay.Summary) {
	if !r.admit(time.Now(), servedAtFirstAttempt(&s), len(s.Steps)+1) {
		return
	}
	for i := range s.Steps {
		r.writeStep(&s, &s.Steps[i])
	}
	r.writeEnd(&s)
}

// servedAtFirstAttempt reports whether a request was served without a retry or an
// error.
func servedAtFirstAttempt(s *relay.Summary) bool {
	return s.Refusal == nil && s.Dispatches <= 1 && s.Status < 500
}

// admit reports whether the lines of a request are to be written.
func (r *RequestLogger) admit(now time.Time, served bool, lines int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startSecond(now)
	limit := maxLinesPerSecond
	if served {
		r.servedCount++
		if r.servedCount%servedSampleInterval != 0 {
			return false
		}
		limit = maxServedLinesPerSecond
	}
	if r.linesWritten+lines > limit {
		if !served {
			r.linesDropped += lines
		}
		return false
	}
	r.linesWritten += lines
	return true
}

// startSecond resets the counts when a second has passed, and logs how many lines
// were dropped in the last one.
func (r *RequestLogger) startSecond(now time.Time) {
	if now.Sub(r.secondStart) < time.Second {
		return
	}
	if r.linesDropped > 0 {
		r.logger.Warn().Str(FieldEvent, EventLinesDropped).Int(FieldDropped, r.linesDropped).
			Msg("Request log lines were dropped because of the rate limit.")
	}
	r.secondStart, r.linesWritten, r.linesDropped = now, 0, 0
}

func (r *RequestLogger) writeStep(s *relay.Summary, step *relay.Step) {
	entry := r.logger.Info().Time(FieldAt, step.At).Str(FieldRequest, truncate(string(s.Request)))
	switch step.Kind {
	case relay.StepAccepted:
		addRequestFields(entry, s, step).Msg("Request accepted.")
	case relay.StepQuotaExceeded:
		addRequestFields(entry, s, step).Str(FieldEvent, EventQuotaExceeded).Msg("Request refused because the team's quota is exhausted.")
	case relay.StepQuarantined:
		entry.Str(FieldEvent, EventQuarantineRefused).Stringer(FieldDigest, s.Digest).
			Int64(FieldRetryAfterMs, step.RetryAfter.Milliseconds()).Msg("Request refused because requests with its content crashed targets.")
	case relay.StepTrialBegun:
		entry.Str(FieldEvent, EventTrialBegun).Stringer(FieldDigest, s.Digest).Str(FieldTarget, string(step.Target)).
			Int(FieldTrial, step.TrialNumber).Msg("Request is the only run of its content, which may crash targets.")
	case relay.StepTrialDenied:
		entry.Str(FieldEvent, EventTrialDenied).Stringer(FieldDigest, s.Digest).Str(FieldCause, step.Cause).
			Int64(FieldRetryAfterMs, step.RetryAfter.Milliseconds()).Msg("Request refused because its content may crash targets and no trial may begin.")
	case relay.StepPlaced:
		addSchedulerInputs(entry, step).Str(FieldEvent, EventPlaced).Str(FieldTarget, string(step.Target)).
			Str(FieldVersion, step.Version).Msg("Request placed.")
	case relay.StepShed:
		addSchedulerInputs(entry, step).Str(FieldEvent, EventShed).Str(FieldReason, string(step.Reason)).
			Int64(FieldWaitMs, step.Inputs.PredictedWait.Milliseconds()).
			Int64(FieldRetryAfterMs, step.RetryAfter.Milliseconds()).Bool(FieldReserved, step.Reserved).Msg("Request refused by the scheduler.")
	case relay.StepAttemptEnded:
		entry.Str(FieldEvent, EventAttemptEnded).Str(FieldTarget, string(step.Target)).
			Str(FieldResult, step.Result.String()).Int64(FieldDurationMs, step.Duration.Milliseconds()).
			Str(FieldCause, truncate(step.Cause)).Msg("Exchange with a target ended.")
	case relay.StepRetried:
		entry.Str(FieldEvent, EventRetried).Msg("Request is retried on another target.")
	case relay.StepResumed:
		entry.Str(FieldEvent, EventResumed).Msg("Stream is resumed on another target.")
	case relay.StepRetryDenied:
		entry.Str(FieldEvent, EventRetryDenied).Str(FieldTarget, string(step.Target)).
			Str(FieldReason, string(step.RetryDenial)).Msg("Request is not retried.")
	case relay.StepHedged:
		addSchedulerInputs(entry, step).Str(FieldEvent, EventHedged).Str(FieldTarget, string(step.Target)).
			Str(FieldVersion, step.Version).Msg("Request is also sent to a second target because the first has stalled.")
	case relay.StepPassedOn:
		entry.Str(FieldEvent, EventPassedOn).Str(FieldPeer, string(step.Host)).Str(FieldCause, truncate(step.Cause)).
			Msg("Request is passed on to another host.")
	case relay.StepHedgeDenied:
		entry.Str(FieldEvent, EventHedgeDenied).Str(FieldReason, string(step.RetryDenial)).
			Msg("Target has stalled, and the request can't be sent to a second one.")
	}
}

func addRequestFields(entry *log.Entry, s *relay.Summary, step *relay.Step) *log.Entry {
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

func addSchedulerInputs(entry *log.Entry, step *relay.Step) *log.Entry {
	in := &step.Inputs
	return entry.
		Int(FieldUsableTargets, in.UsableTargets).
		Int(FieldLimitedTargets, in.LimitedTargets).
		Int(FieldFreeSlots, in.FreeSlots).
		Int(FieldQueued, in.Queued).
		Int(FieldAhead, in.Ahead).
		Int(FieldPeers, in.Peers).
		Int64(FieldPeerStateAgeMs, in.PeerStateAge.Milliseconds())
}

func (r *RequestLogger) writeEnd(s *relay.Summary) {
	entry := r.logger.Info().
		Str(FieldRequest, truncate(string(s.Request))).
		Str(FieldEvent, EventEnded).
		Str(FieldRoute, s.Route).
		Str(FieldTeam, string(s.Team)).
		Stringer(FieldDigest, s.Digest).
		Int(FieldDispatches, s.Dispatches).
		Int64(FieldQueuedMs, s.QueueTime.Milliseconds()).
		Int64(FieldFirstEventMs, s.TimeToFirstEvent.Milliseconds()).
		Int64(FieldTotalMs, s.TotalTime.Milliseconds()).
		Int(FieldStatus, s.Status).
		Int(FieldEvents, s.Events)
	if len(s.Parts) > 0 {
		entry = entry.Strs(FieldParts, partTexts(s.Parts))
	}
	if s.Refusal != nil {
		entry = entry.
			Str(FieldOutcome, string(s.Refusal.Outcome)).
			Str(FieldReason, string(s.Refusal.Reason)).
			Int64(FieldRetryAfterMs, s.Refusal.RetryAfter.Milliseconds()).
			Bool(FieldTruncated, s.Truncated)
	}
	entry.Msg("Request ended.")
}

// maxParts bounds the parts in a line.
const maxParts = 8

// partTexts returns the digests of the first parts of a prompt as they appear in logs.
func partTexts(parts []quarantine.Digest) []string {
	texts := make([]string, 0, maxParts)
	for _, part := range parts[:min(len(parts), maxParts)] {
		texts = append(texts, part.String())
	}
	return texts
}

// maxFieldBytes bounds fields whose value comes from a caller or a target.
const maxFieldBytes = 200

func truncate(text string) string {
	if len(text) <= maxFieldBytes {
		return text
	}
	return text[:maxFieldBytes]
}
