package schedule

// State is what one host tells the others, or the sum of what the hosts of a data
// centre told.
type State struct {
	// Loads holds the targets on which something runs.
	Loads []TargetLoad
	// Observed says that Observations are told; else those told before hold.
	Observed     bool
	Observations []Observation
	// Demands are told at times; if there are none, those told before hold.
	Demands  []Demand
	Backlogs []Backlog
	// PrefixLocations are the newest ones, oldest first.
	PrefixLocations []PrefixLocation
}
