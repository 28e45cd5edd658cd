package membership

// State is a member's state as seen by this host.
type State string

const (
	// Alive means that heartbeats arrive.
	Alive State = "alive"
	// Suspect means that heartbeats are missing. The member may still own pools.
	Suspect State = "suspect"
	// Dead means that the member is treated as absent: it owns no pool.
	Dead State = "dead"
)
