package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/outcome"
)

func encodeProgress(p admission.Progress) *peerpb.Progress {
	return &peerpb.Progress{
		Id:              string(p.ID),
		Tokens:          int32(p.Tokens),
		SinceDispatchUs: p.SinceDispatch.Microseconds(),
		PrefillUs:       p.Prefill.Microseconds(),
		GapUs:           p.Gap.Microseconds(),
	}
}

func decodeProgress(p *peerpb.Progress) admission.Progress {
	return admission.Progress{
		ID:            ident.Request(p.GetId()),
		Tokens:        int(p.GetTokens()),
		SinceDispatch: time.Duration(p.GetSinceDispatchUs()) * time.Microsecond,
		Prefill:       time.Duration(p.GetPrefillUs()) * time.Microsecond,
		Gap:           time.Duration(p.GetGapUs()) * time.Microsecond,
	}
}

func encodeEnd(pool ident.Pool, target ident.Target, e admission.End) *peerpb.End {
	return &peerpb.End{
		Pool:          string(pool),
		Id:            string(e.ID),
		Target:        string(target),
		Outcome:       string(e.Outcome),
		Reason:        string(e.Reason),
		PromptTokens:  int32(e.PromptTokens),
		CachedTokens:  int32(e.CachedTokens),
		Tokens:        int32(e.Tokens),
		PrefillUs:     e.Prefill.Microseconds(),
		TotalUs:       e.Total.Microseconds(),
		TargetDied:    e.TargetCrashed,
		TargetLeaving: e.TargetDraining,
		LostTargets:   encodeTargets(e.LostTargets),

		ConnectionLost: e.ConnectionLost,
	}
}

func decodeEnd(e *peerpb.End) admission.End {
	return admission.End{
		ID:             ident.Request(e.GetId()),
		Outcome:        outcome.Outcome(e.GetOutcome()),
		Reason:         outcome.Reason(e.GetReason()),
		PromptTokens:   int(e.GetPromptTokens()),
		CachedTokens:   int(e.GetCachedTokens()),
		Tokens:         int(e.GetTokens()),
		Prefill:        time.Duration(e.GetPrefillUs()) * time.Microsecond,
		Total:          time.Duration(e.GetTotalUs()) * time.Microsecond,
		ConnectionLost: e.GetConnectionLost(),
		TargetCrashed:  e.GetTargetDied(),
		TargetDraining: e.GetTargetLeaving(),
		LostTargets:    decodeTargets(e.GetLostTargets()),
	}
}
