package eventlog

import (
	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/relay"
)

// writeStep writes the line about a decision.
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
		if step.Reason != outcome.EntryOverloaded {
			entry = addSchedulerInputs(entry, step)
		}
		entry.Str(FieldEvent, EventShed).Str(FieldReason, string(step.Reason)).
			Int64(FieldWaitMs, step.Inputs.PredictedWait.Milliseconds()).
			Int64(FieldRetryAfterMs, step.RetryAfter.Milliseconds()).Bool(FieldReserved, step.Reserved).Msg("Request refused before it was sent.")
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
