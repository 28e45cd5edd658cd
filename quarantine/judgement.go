package quarantine

import (
	"maps"
	"slices"
	"time"
)

// judgement is what follows from the known crashes.
type judgement struct {
	verdicts verdicts
	// groups holds the groups of digests that are confirmed together: nothing shows which
	// one of a group crashes targets, so only requests that have all of them are quarantined.
	groups [][]Digest
	// implicated holds the digests that are implicated in any crash, attributed or not.
	implicated map[Digest]bool
}

// judge returns what follows from the records, which are in the order of their times. It
// confirms digests one after the other: those with the most strikes first and, among these,
// those with the latest one. Each confirmation attributes crashes.
func judge(records []*record) judgement {
	j := judgement{verdicts: make(verdicts), implicated: implicatedIn(records)}
	attributed := make(map[*record]bool)
	// undecided holds the parts that tied with a whole content that was confirmed.
	undecided := make(verdicts)
	for {
		open := countStrikes(records, attributed, j.verdicts)
		worst := open.worst()
		if worst.strikes < Threshold {
			maps.Copy(undecided, open)
			maps.Copy(undecided, j.verdicts)
			j.verdicts = undecided
			return j
		}
		tied := open.tied(worst)
		maps.Copy(undecided, tied)
		guilty := j.confirm(tied)
		for _, r := range records {
			if slices.ContainsFunc(guilty, r.implicates) {
				attributed[r] = true
			}
		}
	}
}

// confirm confirms the digests of a tie and returns them. A whole content explains crashes
// without keeping other requests away, so parts that tie with one stay suspects.
func (j *judgement) confirm(tied verdicts) []Digest {
	var wholes, parts []Digest
	for _, digest := range slices.Sorted(maps.Keys(tied)) {
		if tied[digest].part {
			parts = append(parts, digest)
		} else {
			wholes = append(wholes, digest)
		}
	}
	if len(wholes) == 0 {
		j.addGroup(tied, parts)
		return parts
	}
	for _, digest := range wholes {
		j.addGroup(tied, []Digest{digest})
	}
	return wholes
}

func (j *judgement) addGroup(tied verdicts, group []Digest) {
	for _, digest := range group {
		v := tied[digest]
		v.confirmed, v.group = true, len(j.groups)
		j.verdicts[digest] = v
	}
	j.groups = append(j.groups, group)
}

// confirmedIn returns a verdict of a group all of whose digests the content has, if there is
// one. Of several, it returns the one with the latest strike.
func (j *judgement) confirmedIn(c Content) (latest verdict, found bool) {
	digests := c.digests()
	for _, digest := range digests {
		v := j.verdicts[digest]
		if !v.confirmed || found && !v.lastStrike.After(latest.lastStrike) {
			continue
		}
		if containsAll(digests, j.groups[v.group]) {
			latest, found = v, true
		}
	}
	return latest, found
}

func containsAll(digests, wanted []Digest) bool {
	return !slices.ContainsFunc(wanted, func(digest Digest) bool { return !slices.Contains(digests, digest) })
}

// implicatedIn returns the digests that are implicated in any of the crashes.
func implicatedIn(records []*record) map[Digest]bool {
	implicated := make(map[Digest]bool)
	for _, r := range records {
		for _, run := range r.crash.Runs {
			if !run.Cleared {
				implicated[run.Digest] = true
			}
		}
	}
	return implicated
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
			v.part = run.Part
			if !hasCommonCause(records, attributed, r, run) {
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
// time as the crashed one, for no reason that is known. One that ended before a trial began has
// no part in what crashed the trial's target.
func hasCommonCause(records []*record, attributed map[*record]bool, crashed *record, run Run) bool {
	earliest := crashed.crash.At.Add(-commonCauseWindow)
	if began := crashed.crash.At.Add(-run.Duration); run.Trial && began.After(earliest) {
		earliest = began
	}
	latest := crashed.crash.At.Add(commonCauseWindow)
	return slices.ContainsFunc(records, func(other *record) bool {
		return !attributed[other] && other.crash.Target != crashed.crash.Target &&
			!other.crash.At.Before(earliest) && !other.crash.At.After(latest) && other.run(run.Digest) == nil
	})
}
