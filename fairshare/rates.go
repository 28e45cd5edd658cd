package fairshare

import (
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// RateTimeConstant is that of the estimated rates. It is a few times the age of reports, and
	// short enough that requests are no longer refused some tenths of a second after a burst.
	RateTimeConstant = 400 * time.Millisecond
	// steadyRise and steadyFall are the time constants of SteadyFraction.
	steadyRise = 2 * time.Second
	steadyFall = 200 * time.Millisecond
	// minRate is the demand, in slots, below which an entry is dropped. It is also the least divisor
	// of fractions.
	minRate = 1e-5
)

// Rates divides the capacity of one pool among ranks and teams by rates: each host grants the
// same fraction of a team's requests on arrival, so that no order over hosts is needed. Rates are
// in slots, that is in seconds of slot time per second.
type Rates struct {
	byKey     map[Key]*rate
	ordered   []*rate
	updatedAt time.Time
	dividedAt time.Time
}

// rate is the demand of one team at one rank.
type rate struct {
	key Key
	// demand and refused are decayed sums at this host, in seconds.
	demand  float64
	refused float64
	// others is the demand that the other hosts report, in slots, and othersGranted what they granted
	// of it.
	others        float64
	othersGranted float64
	// fraction is the fraction of the demand that is granted.
	fraction float64
	// steady follows fraction down fast and up slowly.
	steady float64
}

// NewRates returns rates without demand.
func NewRates() *Rates { return &Rates{byKey: make(map[Key]*rate)} }

// Record adds the slot time, in seconds, of a request that arrives.
func (r *Rates) Record(now time.Time, key Key, cost float64) {
	r.advance(now)
	if known := r.open(key); known != nil {
		known.demand += cost
	}
}

// RecordRefused adds the slot time of a request that is refused because of its rate.
func (r *Rates) RecordRefused(key Key, cost float64) {
	if known := r.byKey[key]; known != nil {
		known.refused += cost
	}
}

// Fraction returns the fraction of a team's requests that is granted. It is 1 for teams beyond
// maxAccounts, whose demand is not counted.
func (r *Rates) Fraction(key Key) float64 {
	if known := r.byKey[key]; known != nil {
		return known.fraction
	}
	return 1
}

// SteadyFraction returns a fraction that follows Fraction down fast and up slowly. It differs less
// between hosts and moments, and more than that is seldom granted to what was promised.
func (r *Rates) SteadyFraction(key Key) float64 {
	if known := r.byKey[key]; known != nil {
		return known.steady
	}
	return 1
}

// updateSteady updates the steady fractions. After a pause, they start again.
func (r *Rates) updateSteady(now time.Time) {
	elapsed := now.Sub(r.dividedAt)
	r.dividedAt = now
	for _, known := range r.ordered {
		timeConstant := steadyRise
		if known.fraction < known.steady {
			timeConstant = steadyFall
		}
		weight := 1.0
		if elapsed < steadyRise {
			weight = 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
		}
		known.steady += weight * (known.fraction - known.steady)
	}
}

// Divide divides a capacity, in slots, among the demand of this host and that of the others, in
// seconds over the time constant of Accounts. All demand is multiplied by scale, which exceeds 1 while
// some hosts have not reported theirs. It reports whether all demand is granted.
func (r *Rates) Divide(now time.Time, capacity float64, others map[Key]Load, scale float64) (allGranted bool) {
	r.advance(now)
	defer r.updateSteady(now)
	for _, known := range r.ordered {
		known.others, known.othersGranted = 0, 0
	}
	for key, load := range others {
		if known := r.open(key); known != nil {
			known.others = (load.Used + load.Queued) / timeConstant.Seconds()
			known.othersGranted = load.Used / timeConstant.Seconds()
		}
	}
	if demandOf(r.ordered, scale) <= capacity {
		for _, known := range r.ordered {
			known.fraction = 1
		}
		return true
	}
	division{scale: scale}.divideTeamRanks(r.ordered, capacity)
	return false
}

// GrantedShare returns the part of the known demand that is granted.
func (r *Rates) GrantedShare() float64 {
	demand, granted := 0.0, 0.0
	for _, known := range r.ordered {
		demand += known.total(1)
		granted += known.total(1) * known.fraction
	}
	if demand == 0 {
		return 1
	}
	return granted / demand
}

// Demand returns the known demand of all hosts, in slots, and the part that was granted, as of the
// last division.
func (r *Rates) Demand() (all, granted float64) {
	for _, known := range r.ordered {
		all += known.total(1)
		granted += max(known.demand-known.refused, 0)/RateTimeConstant.Seconds() + known.othersGranted
	}
	return all, granted
}

// Own iterates over the demand of this host: what is granted and, as queued, what is refused, in
// seconds over the time constant of Accounts.
func (r *Rates) Own(now time.Time) iter.Seq2[Key, Load] {
	r.advance(now)
	unit := timeConstant.Seconds() / RateTimeConstant.Seconds()
	return func(yield func(Key, Load) bool) {
		for _, known := range r.ordered {
			load := Load{Used: max(known.demand-known.refused, 0) * unit, Queued: known.refused * unit}
			if known.demand > 0 && !yield(known.key, load) {
				return
			}
		}
	}
}

func (r *rate) total(scale float64) float64 {
	return scale * (r.demand/RateTimeConstant.Seconds() + r.others)
}

func (r *Rates) open(key Key) *rate {
	known := r.byKey[key]
	if known == nil && len(r.byKey) < maxAccounts {
		known = &rate{key: key, fraction: 1, steady: 1}
		r.byKey[key] = known
		at, _ := slices.BinarySearchFunc(r.ordered, key, func(other *rate, key Key) int { return other.key.compare(key) })
		r.ordered = slices.Insert(r.ordered, at, known)
	}
	return known
}

// advance lets past demand decay until now.
func (r *Rates) advance(now time.Time) {
	if !now.After(r.updatedAt) {
		return
	}
	factor := 0.0
	if !r.updatedAt.IsZero() {
		factor = math.Exp(-now.Sub(r.updatedAt).Seconds() / RateTimeConstant.Seconds())
	}
	r.updatedAt = now
	for _, known := range r.ordered {
		known.demand *= factor
		known.refused *= factor
	}
}

// DropUnused removes the entries without demand.
func (r *Rates) DropUnused() {
	r.ordered = slices.DeleteFunc(r.ordered, func(known *rate) bool {
		unused := known.demand/RateTimeConstant.Seconds() < minRate && known.others < minRate
		if unused {
			delete(r.byKey, known.key)
		}
		return unused
	})
}
