package rollout

import "time"

// Gate chooses the side of each request at one host. Its zero value chooses the old targets.
type Gate struct {
	progress  Progress
	appliedAt time.Time
	blocked   bool
}

// Apply sets the progress.
func (g *Gate) Apply(now time.Time, p Progress) {
	if p.Newer(g.progress) {
		g.progress, g.blocked = p, false
	}
	g.appliedAt = now
}

// Block makes the gate choose the old targets.
func (g *Gate) Block() { g.blocked = true }

// Choose returns the side of a request; random is uniformly distributed in [0, 1).
func (g *Gate) Choose(now time.Time, random float64) Side {
	return Old
}
