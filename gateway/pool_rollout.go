package gateway

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/rollout"
)

// poolRollout is what this host knows of the newest order of a pool.
type poolRollout struct {
	order rollout.Order
	// orderAt is when this host learned of the order. alias is the ID of the same order in a
	// later era of the store.
	orderAt time.Time
	alias   rollout.OrderID
	// progress is the newest known progress, or zero, and changedAt when it last changed.
	progress  rollout.Progress
	changedAt time.Time
	// stored is what the store holds as far as known, confirmedAt when it last confirmed that,
	// and readAt when it was last asked.
	stored      rollout.Stored
	confirmedAt time.Time
	readAt      time.Time
	// failedAt is when a call to the store last failed.
	failedAt time.Time
	// saving and reading are set during calls to the store. savedAt is when the progress was last
	// sent to it.
	saving  bool
	reading bool
	savedAt time.Time
	role    rolloutRole

	controller *rollout.Controller
	evidence   rollout.Evidence
	// reports holds the evidence of the hosts that send their own state, and receivedAt when each
	// host last sent anything about the rollout.
	reports    map[ident.Host]rollout.Report
	receivedAt map[ident.Host]time.Time
	// storeLost holds the hosts that said last that the store doesn't respond to them. Its keys
	// are among those of receivedAt.
	storeLost map[ident.Host]bool
	// outcome is the last judgement that was logged.
	outcome rollout.Outcome
	// blocked says that this host's own evidence is against the version.
	blocked bool
}

// begin starts with an order.
func (p *poolRollout) begin(now time.Time, o rollout.Order, options rollout.Options) {
	p.order, p.orderAt, p.alias = o, now, rollout.OrderID{}
	p.controller = rollout.NewController(options)
	p.evidence = rollout.Evidence{}
	p.reports = make(map[ident.Host]rollout.Report)
	p.receivedAt = make(map[ident.Host]time.Time)
	p.storeLost = make(map[ident.Host]bool)
	p.role = rolloutRole{}
	p.outcome, p.blocked = rollout.Undecided, false
}

// repeats reports whether an order that was read is the known one, which the store has lost and
// that was written again, or that it returned in a later era.
func (p *poolRollout) repeats(o *rollout.Order) bool {
	if o.ID == p.order.ID || o.ID == p.alias {
		return true
	}
	return p.alias.Era < o.ID.Era && p.order.ID.Era < o.ID.Era && p.order.Version == o.Version
}

// current returns the progress of the newest order; its zero value means that none is known.
func (p *poolRollout) current() rollout.Progress {
	if p.progress.Order != p.order.ID {
		return rollout.Progress{}
	}
	return p.progress
}

// announced returns the progress of the newest order as it is sent and applied. Before the first
// step it has no share.
func (p *poolRollout) announced() rollout.Progress {
	if current := p.current(); current != (rollout.Progress{}) {
		return current
	}
	return rollout.Progress{Order: p.order.ID, Version: p.order.Version, Phase: rollout.InProgress}
}

// supersededBy reports whether another progress replaces the known one. Completion is final once
// it was stored, because the old targets stop then.
func (p *poolRollout) supersededBy(next rollout.Progress) bool {
	if next.Order.Compare(p.order.ID) < 0 {
		return false
	}
	if p.stored.Progress.Order == next.Order && p.stored.Progress.Phase == rollout.Completed {
		return next == p.stored.Progress && next != p.progress
	}
	return p.progress == (rollout.Progress{}) || next.Newer(p.progress)
}

// unstored reports whether the store lacks the known progress.
func (p *poolRollout) unstored() bool {
	current := p.current()
	return current != (rollout.Progress{}) && current != p.stored.Progress
}
