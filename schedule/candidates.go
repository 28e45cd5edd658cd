package schedule

import "time"

// mayServe reports whether the target is certain to have the software version that the
// request requires.
func (r *Request) mayServe(now time.Time, t *target) bool {
	return !r.RequiresVersion || t.Version == r.Version && !t.mayHaveRestarted(now)
}

// hasCandidate reports whether the pool has a target that is not draining and, if the
// request requires a version, has this version and has not failed the request.
func (p *pool) hasCandidate(now time.Time, r *Request) bool {
	for _, t := range p.targets {
		if t.available() && r.mayServe(now, t) && !(r.RequiresVersion && excludes(r, t.Name)) {
			return true
		}
	}
	return false
}

// hasVersion reports whether the pool has a target of the version that the request requires,
// which may serve it once its entry is certain.
func (p *pool) hasVersion(r *Request) bool {
	for _, t := range p.targets {
		if t.available() && t.Version == r.Version && !excludes(r, t.Name) {
			return true
		}
	}
	return false
}

// candidates returns the usable targets of the version that the request requires.
func (p *pool) candidates(now time.Time, r *Request) []*target {
	if !r.RequiresVersion {
		return p.usableTargets(now)
	}
	ofVersion := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		if r.mayServe(now, t) {
			ofVersion = append(ofVersion, t)
		}
	}
	return usableOf(now, ofVersion)
}

// selectOfVersion selects one of the usable targets or, if the request requires a version, of
// those of this version.
func (s *Scheduler) selectOfVersion(now time.Time, p *pool, w *queuedRequest, usable []*target) *target {
	if !w.request.RequiresVersion {
		return s.selectTarget(now, p, w, usable)
	}
	candidates := p.candidates(now, w.request)
	if freeSlots(now, candidates) <= s.reservedSlots(now, p, w, candidates) {
		return nil
	}
	return s.selectTarget(now, p, w, candidates)
}

// scaleToCandidates returns the part of the requests ahead that is expected to be served by
// targets of the version that the request requires.
func (p *pool) scaleToCandidates(now time.Time, r *Request, ahead int, candidates []*target) int {
	if !r.RequiresVersion {
		return ahead
	}
	all := totalSlots(p.usableTargets(now))
	return ahead * totalSlots(candidates) / max(all, 1)
}
