package quarantine

import "time"

// verdict is what the known crashes say about one digest.
type verdict struct {
	// part says that the digest identifies a part of a prompt.
	part       bool
	strikes    int
	lastStrike time.Time
	// confirmed says that the digest, or the group of digests to which it belongs, reached
	// the threshold.
	confirmed bool
	// group is the index of the group to which a confirmed digest belongs.
	group int
}

// withCrash adds a crash. It is another strike only if the run was a trial, or began after
// the previous strike: targets that crash at the same time may have a common cause, which is
// not a request.
func (v verdict) withCrash(at time.Time, run Run) verdict {
	if v.strikes > 0 && !run.Trial && at.Add(-run.Duration).Before(v.lastStrike) {
		return v
	}
	v.strikes++
	v.lastStrike = at
	return v
}

// ties reports whether the same crashes are held against both digests, as far as their number
// and the last one say.
func (v verdict) ties(other verdict) bool {
	return v.strikes == other.strikes && v.lastStrike.Equal(other.lastStrike)
}
