package hoststate

import (
	"math"

	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/rollout"
)

const (
	// maxRollouts and maxRolloutCounts bound the rollouts in a message and the counts of each,
	// which must fit a datagram.
	maxRollouts      = 16
	maxRolloutCounts = 128
)

func encodeRollouts(rollouts []Rollout) []*hostpb.Rollout {
	var encoded []*hostpb.Rollout
	for i := range rollouts[:min(len(rollouts), maxRollouts)] {
		encoded = append(encoded, encodeRollout(&rollouts[i]))
	}
	return encoded
}

func encodeRollout(r *Rollout) *hostpb.Rollout {
	p := withConfirmation(r)
	encoded := &hostpb.Rollout{
		Pool: hashName(r.Pool), Era: p.Order.Era, Order: p.Order.Row, Version: p.Version, Phase: clampUint32(int(p.Phase)),
		Step: clampUint32(p.Step), ShareMilli: clampUint32(p.ShareMilli), StartedMs: p.StartedMs,
	}
	for key, c := range r.Report {
		if len(encoded.Counts) == maxRolloutCounts {
			break
		}
		encoded.Counts = append(encoded.Counts, encodeRolloutCount(key, &c))
	}
	return encoded
}

// withConfirmation returns the progress as it is sent. Without confirmation the share is zero, and
// the step is zero unless the store is lost.
func withConfirmation(r *Rollout) rollout.Progress {
	p := r.Progress
	switch {
	case r.Confirmation == Confirmed || p.Phase != rollout.InProgress:
	case r.Confirmation == StoreLost:
		p.Step, p.ShareMilli = max(p.Step, 1), 0
	default:
		p.Step, p.ShareMilli = 0, 0
	}
	return p
}

// decodeConfirmation is the reverse of withConfirmation. Hosts of earlier builds send the step
// also when they have not heard from the store for a second, which counts as lost.
func decodeConfirmation(p *rollout.Progress) Confirmation {
	switch {
	case p.Phase != rollout.InProgress || p.ShareMilli != 0:
		return Confirmed
	case p.Step > 0:
		return StoreLost
	default:
		return Unconfirmed
	}
}

func encodeRolloutCount(key rollout.CountKey, c *rollout.Counts) *hostpb.RolloutCount {
	return &hostpb.RolloutCount{
		Route: uint32(key.Route), Candidate: key.Side == rollout.New,
		Dispatched: clampUint32(c.Dispatched), Successes: clampUint32(c.Successes), Failures: clampUint32(c.Failures),
		FirstEvents: clampUint32(c.FirstEvents.Count), FirstLogSum: toThousandths(c.FirstEvents.LogSum),
		FirstLogSquares: toThousandths(c.FirstEvents.LogSquares),
		Intervals:       clampUint32(c.Intervals.Count), IntervalLogSum: toThousandths(c.Intervals.LogSum),
		IntervalLogSquares: toThousandths(c.Intervals.LogSquares),
	}
}

// decodeRollouts converts the rollouts of known pools. Those of unknown phases are omitted.
func (n *NameIndex) decodeRollouts(state *hostpb.HostState) []Rollout {
	var rollouts []Rollout
	for _, r := range state.GetRollouts()[:min(len(state.GetRollouts()), maxRollouts)] {
		pool, known := n.pools[r.GetPool()]
		phase := rollout.Phase(r.GetPhase())
		if !known || phase < rollout.InProgress || phase > rollout.RolledBack {
			continue
		}
		progress := decodeProgress(r, phase)
		rollouts = append(rollouts, Rollout{
			Pool: pool, Progress: progress, Confirmation: decodeConfirmation(&progress), Report: decodeReport(r),
		})
	}
	return rollouts
}

func decodeProgress(r *hostpb.Rollout, phase rollout.Phase) rollout.Progress {
	return rollout.Progress{
		Order: rollout.OrderID{Era: r.GetEra(), Row: r.GetOrder()}, Version: r.GetVersion(), Phase: phase,
		Step: int(r.GetStep()), ShareMilli: int(r.GetShareMilli()), StartedMs: r.GetStartedMs(),
	}
}

func decodeReport(r *hostpb.Rollout) rollout.Report {
	report := make(rollout.Report, len(r.GetCounts()))
	for _, c := range r.GetCounts()[:min(len(r.GetCounts()), maxRolloutCounts)] {
		key := rollout.CountKey{Route: rollout.RouteID(c.GetRoute())}
		if c.GetCandidate() {
			key.Side = rollout.New
		}
		report[key] = rollout.Counts{
			Dispatched: int(c.GetDispatched()), Successes: int(c.GetSuccesses()), Failures: int(c.GetFailures()),
			FirstEvents: decodeDurations(c.GetFirstEvents(), c.GetFirstLogSum(), c.GetFirstLogSquares()),
			Intervals:   decodeDurations(c.GetIntervals(), c.GetIntervalLogSum(), c.GetIntervalLogSquares()),
		}
	}
	return report
}

func decodeDurations(count uint32, logSum, logSquares int64) rollout.Durations {
	return rollout.Durations{
		Count: int(count), LogSum: float64(logSum) / thousandthsPerUnit, LogSquares: float64(logSquares) / thousandthsPerUnit,
	}
}

func toThousandths(x float64) int64 { return int64(math.Round(x * thousandthsPerUnit)) }
