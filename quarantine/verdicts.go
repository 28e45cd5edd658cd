package quarantine

// verdicts holds the digests with strikes.
type verdicts map[Digest]verdict

// worst returns the verdict with the most strikes and, among these, the latest one.
func (v verdicts) worst() verdict {
	var worst verdict
	for _, candidate := range v {
		if candidate.strikes > worst.strikes ||
			candidate.strikes == worst.strikes && candidate.lastStrike.After(worst.lastStrike) {
			worst = candidate
		}
	}
	return worst
}

// tied returns the verdicts that tie with one of them.
func (v verdicts) tied(with verdict) verdicts {
	tied := make(verdicts)
	for digest, candidate := range v {
		if candidate.ties(with) {
			tied[digest] = candidate
		}
	}
	return tied
}
