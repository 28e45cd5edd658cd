package rollout

// Verdict is a judgement of the candidates with the figures that it is based on.
type Verdict struct {
	Outcome Outcome
	Reason  Reason
	// Route is the route that the figures belong to, if AllRoutes is false.
	Route     RouteID
	AllRoutes bool
	// Old and New are the counts that were compared.
	Old Counts
	New Counts
	// Score is the logarithm of a likelihood ratio for failures, and the number of standard
	// errors by which the difference exceeds what is tolerated for durations.
	Score float64
}
