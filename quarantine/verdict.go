package quarantine

import "time"

// verdict is what the known crashes say about one digest.
type verdict struct {
	strikes    int
	lastStrike time.Time
	// confirmed says that the digest reached the threshold.
	confirmed bool
}

// judge returns the verdicts that follow from the records, which are in the order of their
// times. It confirms digests one after the other: those with the most strikes first and,
// among these, those with the latest one. Each confirmation attributes crashes.
func judge(records []*record) verdicts {
	attributed := make(map[*record]bool)
	confirmed := make(verdicts)
	for {
		open := countStrikes(records, attributed, confirmed)
		worst := open.worst()
		if worst.strikes < Threshold {
			return merge(confirmed, open)
		}
		for digest, v := range open {
			if v != worst {
				continue
			}
			v.confirmed = true
			confirmed[digest] = v
			for _, r := range records {
				if r.implicates(digest) {
					attributed[r] = true
				}
			}
		}
	}
}

// countStrikes counts the strikes against the digests that are not confirmed.
func countStrikes(records []*record, attributed map[*record]bool, confirmed verdicts) verdicts {
	open := make(verdicts)
	for _, r := range records {
		if attributed[r] {
			continue
		}
		for _, run := range r.crash.Runs {
			if run.Cleared || confirmed[run.Digest].confirmed {
				continue
			}
			v := open[run.Digest]
			if !hasCommonCause(records, attributed, r, run.Digest) {
				v = v.withCrash(r.crash.At, run)
			}
			open[run.Digest] = v
		}
	}
	return open
}

// commonCauseWindow is the longest time between the ends of targets that have one cause.
const commonCauseWindow = time.Second

// hasCommonCause reports whether another target that did not run the digest ended at the same
// time as the crashed one, for no reason that is known.
func hasCommonCause(records []*record, attributed map[*record]bool, crashed *record, digest Digest) bool {
	for _, other := range records {
		if other.crash.Target == crashed.crash.Target || attributed[other] || other.run(digest) != nil {
			continue
		}
		if other.crash.At.Sub(crashed.crash.At).Abs() <= commonCauseWindow {
			return true
		}
	}
	return false
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
