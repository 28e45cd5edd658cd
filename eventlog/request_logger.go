package eventlog

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/relay"
)

const (
	// ServedSampleInterval is the sampling interval for requests served at the first
	// attempt: the lines of one in this many are written.
	ServedSampleInterval = 32
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
	host   HostFields

	mu          sync.Mutex
	servedCount uint64
	// representedCount is the part of servedCount that the written lines represent.
	representedCount uint64
	secondStart      time.Time
	linesWritten     int
	// servedLines is the part of linesWritten about served requests.
	servedLines     int
	linesDropped    int
	requestsDropped int
}

var _ relay.Observer = (*RequestLogger)(nil)

// NewRequestLogger returns a RequestLogger that writes to the logger.
func NewRequestLogger(logger *log.Logger, host HostFields) *RequestLogger {
	return &RequestLogger{logger: logger, host: host}
}

// Finished implements relay.Observer.
func (r *RequestLogger) Finished(s relay.Summary) {
	represented := r.admit(time.Now(), servedAtFirstAttempt(&s), len(s.Steps)+1)
	if represented == 0 {
		return
	}
	for i := range s.Steps {
		r.writeStep(&s, &s.Steps[i])
	}
	r.writeEnd(&s, represented)
}

// servedAtFirstAttempt reports whether a request was served without a retry or an
// error.
func servedAtFirstAttempt(s *relay.Summary) bool {
	return s.Refusal == nil && s.Dispatches <= 1 && s.Status < 500
}

// admit returns the number of requests that the lines of a request represent, or zero if
// they are not to be written. Those of a served request represent all served requests since
// the last one that was written.
func (r *RequestLogger) admit(now time.Time, served bool, lines int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startSecond(now)
	if served {
		return r.admitServed(lines)
	}
	if r.linesWritten+lines > maxLinesPerSecond {
		r.linesDropped += lines
		r.requestsDropped++
		return 0
	}
	r.linesWritten += lines
	return 1
}

// admitServed is admit for a request that was served at the first attempt.
func (r *RequestLogger) admitServed(lines int) uint64 {
	r.servedCount++
	if r.servedCount%ServedSampleInterval != 0 {
		return 0
	}
	if r.servedLines+lines > maxServedLinesPerSecond || r.linesWritten+lines > maxLinesPerSecond {
		return 0
	}
	r.servedLines += lines
	r.linesWritten += lines
	represented := r.servedCount - r.representedCount
	r.representedCount = r.servedCount
	return represented
}

// startSecond resets the counts when a second has passed, and logs how many lines
// were dropped in the last one.
func (r *RequestLogger) startSecond(now time.Time) {
	if now.Sub(r.secondStart) < time.Second {
		return
	}
	if r.linesDropped > 0 {
		r.logger.Warn().Str(FieldEvent, EventLinesDropped).Int(FieldDropped, r.linesDropped).
			Int(FieldRequests, r.requestsDropped).Msg("Request log lines were dropped because of the rate limit.")
	}
	r.secondStart, r.linesWritten, r.servedLines = now, 0, 0
	r.linesDropped, r.requestsDropped = 0, 0
}

func (r *RequestLogger) writeStep(s *relay.Summary, step *relay.Step) {
	entry := r.logger.Info().Time(FieldAt, step.At).Str(FieldRequest, truncate(string(s.Request)))
	switch step.Kind {
	case relay.StepAccepted:
		r.addRequestFields(entry, s, step).Msg("Request accepted.")
	case relay.StepQuotaExceeded:
		r.addRequestFields(entry, s, step).Str(FieldEvent, EventQuotaExceeded).Msg("Request refused because the team's quota is exhausted.")
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

func (r *RequestLogger) addRequestFields(entry *log.Entry, s *relay.Summary, step *relay.Step) *log.Entry {
	if step.Kind == relay.StepAccepted {
		entry = entry.Str(FieldEvent, EventAccepted)
	}
	if s.Resumes {
		entry = entry.Bool(FieldRetry, true)
	}
	return entry.
		Str(FieldRoute, s.Route).
		Str(FieldPool, string(s.Pool)).
		Str(FieldTeam, string(s.Team)).
		Str(FieldDataCentre, string(r.host.DataCentre)).
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

func (r *RequestLogger) writeEnd(s *relay.Summary, represented uint64) {
	entry := r.logger.Info().
		Str(FieldRequest, truncate(string(s.Request))).
		Str(FieldEvent, EventEnded).
		Str(FieldRoute, s.Route).
		Str(FieldPool, string(s.Pool)).
		Str(FieldTeam, string(s.Team)).
		Str(FieldTarget, string(s.Target)).
		Str(FieldDataCentre, string(r.host.DataCentre)).
		Str(FieldHostClass, r.host.Class).
		Int(FieldPromptTokens, s.PromptTokens).
		Stringer(FieldDigest, s.Digest).
		Int(FieldDispatches, s.Dispatches).
		Int64(FieldQueuedMs, s.QueueTime.Milliseconds()).
		Int64(FieldFirstEventMs, s.TimeToFirstEvent.Milliseconds()).
		Int64(FieldTotalMs, s.TotalTime.Milliseconds()).
		Int(FieldStatus, s.Status).
		Int(FieldEvents, s.Events).
		Uint64(FieldRepresents, represented)
	if s.Resumes {
		entry = entry.Bool(FieldRetry, true)
	}
	if peer := servingHost(s.Steps); peer != "" {
		entry = entry.Str(FieldPeer, string(peer))
	}
	if s.Refusal == nil && s.Objective > 0 {
		entry = entry.Bool(FieldLate, s.Late())
	}
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

// servingHost returns the host that responded to a request which was passed on, or "".
func servingHost(steps []relay.Step) ident.Host {
	for i := range steps {
		if steps[i].Kind == relay.StepPassedOn && steps[i].Cause == "" {
			return steps[i].Host
		}
	}
	return ""
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
