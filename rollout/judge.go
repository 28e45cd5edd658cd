package rollout

import (
	"maps"
	"slices"
)

// Judge compares the candidates with the old targets in the same period, by their failures
// and durations, for each route and over all routes. Its thresholds hold for repeated calls
// while the evidence grows: of 1,000 versions that do as well as the old one, at most one is
// found bad, and one whose failure rate is 20 percentage points higher, or that takes twice
// as long, is found bad before its 50th bad response on average. It takes the targets of
// both sides for equally fast; Controller allows for their spread.
func Judge(evidence Report) Verdict {
	return judgement{evidence: evidence, reference: evidence}.verdict()
}

// judgement compares the sides within a period.
type judgement struct {
	// evidence is what was counted in the period.
	evidence Report
	// reference holds the counts since the order. Its old targets are compared with where
	// those in the period served too few requests.
	reference Report
	targets   targetNumbers
}

// targetNumbers are the numbers of targets on both sides; zero if they are not known.
type targetNumbers struct{ old, candidates int }

// verdict returns the worst finding, or Good if a bad version would have been found.
func (j judgement) verdict() Verdict {
	for _, check := range []func() Verdict{j.failures, j.firstEvents, j.intervals} {
		if v := check(); v.Outcome == Bad {
			return v
		}
	}
	old, candidates, _ := j.compared(j.total())
	v := Verdict{AllRoutes: true, Old: old, New: candidates}
	if j.isGood() {
		v.Outcome = Good
	}
	return v
}

// pair holds the counts of both sides, in the period and since the order.
type pair struct{ old, candidates, reference Counts }

// compared returns the counts to compare, and whether the old ones are of another period.
func (j judgement) compared(p pair) (old, candidates Counts, otherPeriod bool) {
	if p.old.ended() < minOldRuns && p.reference.ended() > p.old.ended() {
		return p.reference, p.candidates, true
	}
	return p.old, p.candidates, false
}

func (j judgement) route(route RouteID) pair {
	return pair{
		old:        j.evidence[CountKey{Route: route, Side: Old}],
		candidates: j.evidence[CountKey{Route: route, Side: New}],
		reference:  j.reference[CountKey{Route: route, Side: Old}],
	}
}

func (j judgement) total() pair {
	return pair{old: j.evidence.sum(Old), candidates: j.evidence.sum(New), reference: j.reference.sum(Old)}
}

// routes returns the routes that candidates served, in order.
func (j judgement) routes() []RouteID {
	found := make(map[RouteID]struct{})
	for key := range j.evidence {
		if key.Side == New {
			found[key.Route] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(found))
}
