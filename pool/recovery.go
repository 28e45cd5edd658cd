package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// recoveryLimit bounds how long a new owner waits for the reports of the live
// members before it grants.
const recoveryLimit = 2500 * time.Millisecond

// recovery tracks whom a new owner still has to hear from. Until it is done the
// owner grants nothing, since it does not know what runs on the targets.
type recovery struct {
	missing map[ident.Host]struct{}
	until   time.Time
}

func newRecovery(now time.Time, members []ident.Host) *recovery {
	r := &recovery{
		missing: make(map[ident.Host]struct{}, len(members)),
		until:   now.Add(recoveryLimit),
	}
	for _, host := range members {
		r.missing[host] = struct{}{}
	}
	return r
}

// heard notes that the host has reported or is dead.
func (r *recovery) heard(host ident.Host) { delete(r.missing, host) }

// keep drops hosts that are no longer live members.
func (r *recovery) keep(live []ident.Host) {
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
	return len(r.missing) == 0 || !now.Before(r.until)
}

// wait returns the time until done becomes true without another report.
func (r *recovery) wait(now time.Time) time.Duration { return r.until.Sub(now) }
