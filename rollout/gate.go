package rollout

import "time"

// progressLifetime is how long a host acts on progress that nobody confirms. Longer than
// the 0.5 s after which states of other hosts arrive at the latest, and short enough to
// leave half of RollbackTime's 5 s for the rest.
const progressLifetime = 2 * time.Second

// Gate chooses the side of each request at one host. Its zero value chooses the old targets.
type Gate struct {
	progress  Progress
	appliedAt time.Time
	blocked   bool
}

// Apply sets or confirms the progress; older progress is ignored. The caller passes on only
// what it read from the store or received from the host that decides: repetitions by other
// hosts would confirm a share to each other that nobody can reduce any more.
func (g *Gate) Apply(now time.Time, p Progress) {
	switch {
	case p.Newer(g.progress):
		if p.Order != g.progress.Order {
			g.blocked = false
		}
		g.progress, g.appliedAt = p, now
	case p == g.progress:
		g.appliedAt = now
	}
}

// Block makes the gate choose the old targets until the order has completed, because the
// host's own evidence says that the version is bad.
func (g *Gate) Block() { g.blocked = true }

// Choose returns the side of a request; random is uniformly distributed in [0, 1). It is
// drawn once for each request, so the share holds over all hosts, however few requests each
// has. After a completion the old targets are gone, so it is chosen also if blocked.
func (g *Gate) Choose(now time.Time, random float64) Side {
	if g.progress.Phase == Completed {
		return New
	}
	if g.progress.Phase != InProgress || g.blocked || now.Sub(g.appliedAt) > progressLifetime {
		return Old
	}
	if random*1000 < float64(g.progress.ShareMilli) {
		return New
	}
	return Old
}
