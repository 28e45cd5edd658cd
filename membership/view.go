package membership

import "github.com/cornelyard/cornelyard/ident"

// View is an immutable snapshot of the members. It always contains this host.
type View struct {
	// Version increases with each change.
	Version uint64
	Self    Member
	// Members holds every known member, this host included, sorted by name.
	Members []Member
	// Stale means that this process was paused and has not yet received anything from the other
	// hosts of its data centre since. The view may then be out of date, so a pool
	// owner must issue no grants on it.
	Stale bool
}

// Member returns the member with the given host name.
func (v *View) Member(host ident.Host) (Member, bool) {
	for _, m := range v.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}
