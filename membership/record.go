package membership

import "time"

// record is what is known of another member.
type record struct {
	Member

	// heard is the time of the last heartbeat from the member itself.
	heard time.Time
	// everAlive says that the member was alive at some time.
	everAlive bool
	// probation says that the dead member must be heard steadily before it
	// counts again.
	probation bool
	// steadySince is when a dead member began to be heard again; zero if it
	// isn't heard.
	steadySince time.Time
	// refusals counts refused connections since the member was last heard.
	refusals int

	died     time.Time
	flaps    int
	lastFlap time.Time

	// saysLeaving and listedLeaving are the sources of Member.Leaving.
	saysLeaving   bool
	listedLeaving bool
	// listed says that the platform's host list has the member.
	listed bool
	// relayed says that a host of the member's data centre counts it.
	relayed bool
	// changed is when a field that member lists carry last changed.
	changed time.Time
}

// steady tells whether a dead member has been heard long enough to count again.
func (r *record) steady(now time.Time) bool {
	return !r.steadySince.IsZero() && now.Sub(r.steadySince) >= probation(r.flaps)
}

// flap counts one more death.
func (r *record) flap(now time.Time) {
	if now.Sub(r.lastFlap) > flapMemory {
		r.flaps = 0
	}
	r.flaps++
	r.lastFlap = now
}
