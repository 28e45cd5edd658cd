package targetlimit

import "time"

// Observation is the newest known statement of a target. The zero value means that none is
// known.
type Observation struct {
	Statement
	// Process is when the target's process started, in Unix milliseconds, or zero if that is
	// not known.
	Process int64
	// At is when a host received the response, on this host's clock.
	At time.Time
}

// Merge replaces the observation by another one if that is newer, and reports whether the
// statement in force has changed.
func (o *Observation) Merge(other Observation) (changed bool) {
	if other.Kind == Silent || other.Process < o.Process || other.Process == o.Process && !other.At.After(o.At) {
		return false
	}
	before := o.InForce()
	*o = other
	return o.InForce() != before
}

// InForce returns the statement in force; its kind is Limited or Unlimited.
func (o *Observation) InForce() Statement {
	if o.Kind != Limited {
		return Statement{Kind: Unlimited}
	}
	return o.Statement
}

// Forget drops what processes that started before have stated, and reports whether the
// statement in force has changed.
func (o *Observation) Forget(process int64) (changed bool) {
	if o.Process >= process {
		return false
	}
	changed = o.InForce().Kind == Limited
	*o = Observation{Process: process}
	return changed
}
