package membership

import "github.com/cornelyard/cornelyard/ident"

// View is an immutable picture of the members. It always holds the own host.
type View struct {
	// Version grows with each change.
	Version uint64
	Self    Member
	// Members holds every known member, the own host included, sorted by name.
	Members []Member
	// Stale says that this process was not running for a while and hasn't
	// heard from the others since. The view is then out of date: an owner grants
	// nothing on it.
	Stale bool
}

// Source gives the current view.
type Source interface {
	// View returns the current view; it is never nil.
	View() *View
	// Changed returns a channel that is closed when the view is replaced.
	Changed() <-chan struct{}
}

// Member returns the member with that name.
func (v *View) Member(host ident.Host) (Member, bool) {
	for _, m := range v.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}
