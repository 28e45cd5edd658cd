package eventlog

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/relay"
)

// RequestLogger writes log lines about requests. It implements relay.Observer. It
// writes either all steps of a request or none: those of refused, failed and retried
// requests, and of a sample of the others.
type RequestLogger struct {
	logger *log.Logger
	host   HostFields

	mu      sync.Mutex
	limiter lineLimiter
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
// they are not to be written. It logs how many lines were dropped in the last second.
func (r *RequestLogger) admit(now time.Time, served bool, lines int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dropped := r.limiter.startSecond(now); dropped.lines > 0 {
		r.logger.Warn().Str(FieldEvent, EventLinesDropped).Int(FieldDropped, dropped.lines).
			Int(FieldRequests, dropped.requests).Msg("Request log lines were dropped because of the rate limit.")
	}
	return r.limiter.admit(served, lines)
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
	if disallowed(s) {
		entry = entry.
			Uint64(FieldTableVersion, s.TableVersion).
			Int64(FieldTableAgeMs, s.TableCurrency.Age.Milliseconds()).
			Bool(FieldTableOutdated, s.TableCurrency.Outdated)
	}
	entry.Msg("Request ended.")
}

// disallowed reports whether a request was refused because the configuration does not allow it.
func disallowed(s *relay.Summary) bool {
	r := s.Refusal
	return r != nil && (r.Reason == outcome.UnknownPool || r.Reason == outcome.Unauthorized || r.Reason == outcome.NotReady && s.TableVersion > 0)
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
