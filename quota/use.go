package quota

// Use is what one host tells the others of a team.
type Use struct {
	// Total is what the host let through since its start.
	Total float64
	// Window is what all hosts let through in the window that ends now, as far as
	// this host knows, or zero if it has not run for a whole window.
	Window float64
	// Half is the part of Window that was let through in its second half.
	Half float64
}
