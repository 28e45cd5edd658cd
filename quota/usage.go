package quota

// Usage is what one host reports to the others about a team.
type Usage struct {
	// Total is what was admitted since the reporting host's start.
	Total float64
	// WarmedUp is set once the reporting host has run for a whole window. Only then
	// are Window and RecentHalf known.
	WarmedUp bool
	// Window is what all hosts admitted in the window that ends now, as far as the
	// reporting host knows.
	Window float64
	// RecentHalf is the part of Window that was admitted in its second half.
	RecentHalf float64
}
