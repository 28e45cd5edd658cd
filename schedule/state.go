package schedule

// State is what one host tells the others.
type State struct {
	Loads    []Load
	Backlogs []Backlog
	// Placements are the newest ones, oldest first.
	Placements []Placement
}
