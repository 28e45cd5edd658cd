package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// recoveryTimeout is the maximum time for which a new owner waits for the reports
// of the live members before it grants.
const recoveryTimeout = 2500 * time.Millisecond

// recovery tracks the members whose reports a new owner still waits for. Until it
// is done the owner grants nothing, since it does not know what runs on the
// targets.
type recovery struct {
	missing  map[ident.Host]struct{}
	deadline time.Time
}

func newRecovery(now time.Time, members []ident.Host) *recovery {
	r := &recovery{
		missing:  make(map[ident.Host]struct{}, len(members)),
		deadline: now.Add(recoveryTimeout),
	}
	for _, host := range members {
		r.missing[host] = struct{}{}
	}
	return r
}

// markReported records that the host has reported or has failed.
func (r *recovery) markReported(host ident.Host) { delete(r.missing, host) }

// retain stops waiting for hosts that are no longer live members.
func (r *recovery) retain(live []ident.Host) {
	alive := make(map[ident.Host]struct{}, len(live))
	for _, host := range live {
		alive[host] = struct{}{}
	}
	for host := range r.missing {
		if _, ok := alive[host]; !ok {
			delete(r.missing, host)
		}
	}
}

// done reports whether the owner may grant.
func (r *recovery) done(now time.Time) bool {
	return len(r.missing) == 0 || !now.Before(r.deadline)
}

// wait returns the time until recovery times out.
func (r *recovery) wait(now time.Time) time.Duration { return r.deadline.Sub(now) }
