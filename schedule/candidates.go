package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/rollout"
)

// mayServe reports whether the target is certain to have the software version that the
// request requires, or one of the side that it is assigned, and may get repeated runs if it is
// one.
func (r *Request) mayServe(now time.Time, t *target) bool {
	return r.fitsVersion(now, t) && !(r.Repeat && t.limited())
}

func (r *Request) fitsVersion(now time.Time, t *target) bool {
	return (!r.RequiresVersion || t.Version == r.Version && !t.mayHaveRestarted()) && r.fitsSide(now, t)
}

// hasCandidate reports whether the pool has a target that is not draining, that this host may
// send requests to and, if the request requires a version, has this version and has not failed
// the request.
func (p *pool) hasCandidate(now time.Time, r *Request) bool {
	for _, t := range p.targets {
		if r.isCandidate(now, t) && r.mayServe(now, t) && !t.closed() {
			return true
		}
	}
	return false
}

// hasCandidateWithoutLimits is like hasCandidate if no target stated a limit.
func (p *pool) hasCandidateWithoutLimits(now time.Time, r *Request) bool {
	for _, t := range p.targets {
		if r.isCandidate(now, t) {
			return true
		}
	}
	return false
}

// isCandidate reports whether the target may get the request, whatever limit it states.
func (r *Request) isCandidate(now time.Time, t *target) bool {
	return t.available() && r.fitsVersion(now, t) && !(r.RequiresVersion && excludes(r, t.Name))
}

// hasVersion reports whether the pool has a target of the version that the request requires,
// which may serve it once its entry is certain.
func (p *pool) hasVersion(r *Request) bool {
	for _, t := range p.targets {
		if t.available() && t.Version == r.Version && !excludes(r, t.Name) && !p.barred[t.Version] {
			return true
		}
	}
	return false
}

// candidates returns the usable targets that may serve the request.
func (p *pool) candidates(now time.Time, r *Request) []*target {
	if !r.RequiresVersion && !r.Repeat && !p.divided(now) {
		return p.usableTargets(now)
	}
	serving := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		if r.mayServe(now, t) && !t.takesNothing(now) {
			serving = append(serving, t)
		}
	}
	return usableOf(now, serving)
}

// selectOfVersion selects one of the usable targets or, if the request requires a version or a
// rollout divides the pool, of those that may serve it.
func (s *Scheduler) selectOfVersion(now time.Time, p *pool, w *queuedRequest, usable []*target) *target {
	if !w.request.RequiresVersion && !p.divided(now) {
		return s.selectTarget(now, p, w, usable)
	}
	p.reconsiderSide(now, w.request)
	candidates := p.candidates(now, w.request)
	if freeSlots(now, candidates) <= s.reservedSlots(now, p, w, candidates) {
		return nil
	}
	return s.selectTarget(now, p, w, candidates)
}

// scaleToCandidates returns the part of the requests ahead that is expected to be served by
// targets of the version that the request requires.
func (p *pool) scaleToCandidates(now time.Time, r *Request, ahead int, candidates []*target) int {
	if r.side == rollout.New && p.rollout.inProgress() {
		return ahead * p.rollout.progress.ShareMilli / fullShareMilli
	}
	if !r.RequiresVersion {
		return ahead
	}
	all := totalSlots(p.usableTargets(now))
	return ahead * totalSlots(candidates) / max(all, 1)
}
