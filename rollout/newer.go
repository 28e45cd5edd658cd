package rollout

import "cmp"

// Newer reports whether p replaces other. It is a strict total order of all progress of a
// pool, so that hosts that receive progress in any sequence agree in the end.
//
// Completed replaces RolledBack. A completion is exchanged only after it was stored, and the
// old targets stop once it is; a rollback that another host decided meanwhile comes too late.
// At the same step the smaller share wins, because it exposes fewer requests.
func (p Progress) Newer(other Progress) bool {
	return cmp.Or(
		p.Order.Compare(other.Order),
		cmp.Compare(p.Phase.rank(), other.Phase.rank()),
		cmp.Compare(p.Step, other.Step),
		cmp.Compare(other.ShareMilli, p.ShareMilli),
		cmp.Compare(other.StartedMs, p.StartedMs),
		cmp.Compare(p.Version, other.Version),
	) > 0
}

// rank orders the phases of one order by which replaces which.
func (p Phase) rank() int {
	switch p {
	case InProgress:
		return 1
	case RolledBack:
		return 2
	case Completed:
		return 3
	default:
		return 0
	}
}
