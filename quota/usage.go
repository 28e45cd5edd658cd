package quota

import "time"

// Usage is what one host tells the others of a team.
type Usage struct {
	// Total is what the host let through since its start.
	Total float64
	// WarmedUp says that the host has run for a whole window. Only then does it know
	// what follows.
	WarmedUp bool
	// Window is what all hosts let through in the window that ends now, as far as
	// this host knows.
	Window float64
	// RecentHalf is the part of Window that was let through in its second half.
	RecentHalf float64
}

// learnedUse is what another host said at one time.
type learnedUse struct {
	Usage
	at time.Time
}
